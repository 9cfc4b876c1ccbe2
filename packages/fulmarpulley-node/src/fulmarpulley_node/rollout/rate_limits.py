"""Keep to the rate limits that upstreams state in their responses."""

import asyncio

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.send_schedule import (
    US_PER_S,
    SendSchedule,
    interval_us,
)
from fulmarpulley_core.rollout.stated_limits import StatedLimits, incarnation_of
from fulmarpulley_core.rollout.upstreams import ListedUpstream

from ..observe.events import log_event
from .clock import elapsed_s
from .interfaces import UpstreamCallFailure
from .metrics import RolloutMetrics, labels


class RateLimits:
    """Hold the limits of the upstreams that this node calls, and pace its requests."""

    def __init__(self, metrics: RolloutMetrics) -> None:
        self.metrics = metrics
        self.stated = StatedLimits()
        # Requests to upstreams that only this node calls.
        self.own_schedule = SendSchedule()

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

    def take_exclusive(self, upstream: ListedUpstream) -> UpstreamCallFailure | None:
        """Take a turn at an upstream that only this node calls.

        Return None if the request may be sent now, else why not and when to retry.
        """
        key = incarnation_of(upstream)
        requests_per_s = self.stated.requests_per_s(key)
        if requests_per_s is None:
            return None
        now_us = int(elapsed_s() * US_PER_S)
        reservation = self.own_schedule.reserve(
            key, interval_us(requests_per_s), now_us, max_wait_us=0
        )
        return None if reservation.granted else held_back(reservation.wait_us)


def held_back(wait_us: int) -> UpstreamCallFailure:
    """Return the failure of a request that the rate limit allows only later."""
    return UpstreamCallFailure(
        Failure.RATE_LIMITED,
        "the upstream limits its rate",
        retry_after_s=wait_us / US_PER_S,
    )
