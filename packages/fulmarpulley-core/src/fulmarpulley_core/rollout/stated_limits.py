"""Keep the rate limits that upstreams state in their responses."""

from typing import NamedTuple

import msgspec

from ..ids import UpstreamId
from .upstreams import ListedUpstream

# Bounds the memory for upstreams that were replaced while they stated a limit.
MAX_LIMITS = 4096


class Incarnation(NamedTuple):
    """Identify one start of an upstream; a restart ends what it stated before."""

    upstream_id: UpstreamId
    started_ms: int


def incarnation_of(entry: ListedUpstream) -> Incarnation:
    """Return the incarnation that an entry of the directory describes."""
    return Incarnation(entry.upstream_id, entry.started_ms)


class StatedLimit(msgspec.Struct, frozen=True):
    """Hold the requests per second that an upstream accepts from all nodes together."""

    requests_per_s: float
    stated_at: float


class StatedLimits:
    """Hold the newest limit of each upstream that states one."""

    def __init__(self) -> None:
        self.limits: dict[Incarnation, StatedLimit] = {}

    def requests_per_s(self, upstream: Incarnation) -> float | None:
        """Return the limit of an upstream, or None if it states none."""
        limit = self.limits.get(upstream)
        return limit.requests_per_s if limit is not None else None

    def record(
        self,
        upstream: Incarnation,
        requests_per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record what a response states, and return whether the limit changed.

        Responses on different connections may overtake each other, so one without a
        limit ends it only if its request was sent after the limit was last stated.

        :param sent_at: time at which the request of the response was sent
        """
        known = self.limits.get(upstream)
        if requests_per_s is None:
            if known is None or sent_at < known.stated_at:
                return False
            del self.limits[upstream]
            return True
        self.limits.pop(upstream, None)
        self.limits[upstream] = StatedLimit(requests_per_s, now)
        if len(self.limits) > MAX_LIMITS:
            del self.limits[next(iter(self.limits))]
        return known is None or known.requests_per_s != requests_per_s
