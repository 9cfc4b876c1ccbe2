"""Provide elapsed and wall-clock time that system clock adjustments do not affect."""

import time

_BOOTTIME_AT_START = time.clock_gettime(time.CLOCK_BOOTTIME)
_UNIX_AT_START = time.time()


def elapsed_s() -> float:
    """Return seconds since process start, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - _BOOTTIME_AT_START


def unix_ms() -> int:
    """Return Unix milliseconds that never jump backward or forward."""
    return unix_us() // 1000


def unix_us() -> int:
    """Return Unix microseconds that never jump backward or forward."""
    return int((_UNIX_AT_START + elapsed_s()) * 1_000_000)
