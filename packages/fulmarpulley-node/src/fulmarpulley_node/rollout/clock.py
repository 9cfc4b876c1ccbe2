"""Tell the time of day without the steps that a clock may make."""

import time

_BOOTTIME_AT_START = time.clock_gettime(time.CLOCK_BOOTTIME)
_UNIX_AT_START = time.time()


def elapsed_s() -> float:
    """Return seconds since the start; suspended time counts, unlike in monotonic."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - _BOOTTIME_AT_START


def unix_ms() -> int:
    """Return Unix milliseconds that never step back or ahead."""
    return int((_UNIX_AT_START + elapsed_s()) * 1000)
