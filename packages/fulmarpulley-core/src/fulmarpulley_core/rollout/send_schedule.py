"""Schedule requests to upstreams that limit their rate.

The generic cell rate algorithm: a request reserves the next free send time, a short
burst is sent at once, and unused time allows no longer bursts later.
"""

from typing import NamedTuple

from .stated_limits import Incarnation

US_PER_S = 1_000_000
BURST_REQUESTS = 3
# Rate for an upstream that states a lower limit. Without any requests the node would
# not learn when the limit ends.
MIN_REQUESTS_PER_S = 0.2
MAX_UPSTREAMS = 4096


class Reservation(NamedTuple):
    """Hold how long a request has to wait; it is sent only if it was granted."""

    granted: bool
    wait_us: int


def interval_us(requests_per_s: float) -> int:
    """Return the mean microseconds between requests at a stated limit."""
    return max(1, int(US_PER_S / max(requests_per_s, MIN_REQUESTS_PER_S)))


class SendSchedule:
    """Hold when the sent and reserved requests of each upstream are used up."""

    def __init__(self, burst_requests: int = BURST_REQUESTS) -> None:
        self.burst_requests = burst_requests
        self.used_until_us: dict[Incarnation, int] = {}

    def wait_us(self, upstream: Incarnation, interval_us: int, now_us: int) -> int:
        """Return how long the next request has to wait."""
        used_until_us = self.used_until_us.get(upstream, now_us)
        burst_us = (self.burst_requests - 1) * interval_us
        return max(0, used_until_us - burst_us - now_us)

    def reserve(
        self, upstream: Incarnation, interval_us: int, now_us: int, max_wait_us: int
    ) -> Reservation:
        """Reserve the next send time, unless it is too late."""
        wait_us = self.wait_us(upstream, interval_us, now_us)
        if wait_us > max_wait_us:
            return Reservation(False, wait_us)
        used_until_us = max(self.used_until_us.get(upstream, now_us), now_us)
        self._set_used_until(upstream, used_until_us + interval_us)
        return Reservation(True, wait_us)

    def record_sent(self, upstream: Incarnation, interval_us: int, now_us: int) -> None:
        """Let the next request wait for an interval after one that was sent anyway."""
        self._set_used_until(upstream, now_us + interval_us)

    def _set_used_until(self, upstream: Incarnation, used_until_us: int) -> None:
        self.used_until_us.pop(upstream, None)
        self.used_until_us[upstream] = used_until_us
        if len(self.used_until_us) > MAX_UPSTREAMS:
            del self.used_until_us[next(iter(self.used_until_us))]
