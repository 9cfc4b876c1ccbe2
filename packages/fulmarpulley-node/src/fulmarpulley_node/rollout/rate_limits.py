"""Record the rate limits that upstreams state in their responses."""

import asyncio

from fulmarpulley_core.rollout.stated_limits import StatedLimits, incarnation_of
from fulmarpulley_core.rollout.upstreams import ListedUpstream

from ..observe.events import log_event
from .metrics import RolloutMetrics, labels


class RateLimits:
    """Hold the limits of the upstreams that this node calls."""

    def __init__(self, metrics: RolloutMetrics) -> None:
        self.metrics = metrics
        self.stated = StatedLimits()

    def record_response(
        self, upstream: ListedUpstream, requests_per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit that a response states; None if it states no limit.

        :param sent_at: event loop time at which the request was sent
        """
        key = incarnation_of(upstream)
        before = self.stated.requests_per_s(key)
        now = asyncio.get_running_loop().time()
        changed = self.stated.record(key, requests_per_s, sent_at, now)
        if requests_per_s is not None:
            self.metrics.limited_responses.inc(labels(service=upstream.service))
        if changed:
            log_event(
                "upstream_limit_changed",
                upstream=upstream.upstream_id,
                service=upstream.service,
                before="none" if before is None else before,
                limit="none" if requests_per_s is None else requests_per_s,
            )
