"""Keep to the rate limits that upstreams state in their responses."""

import asyncio
from collections.abc import Callable

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.send_schedule import (
    US_PER_S,
    SendSchedule,
    interval_us,
)
from fulmarpulley_core.rollout.stated_limits import (
    Incarnation,
    StatedLimits,
    incarnation_of,
)
from fulmarpulley_core.rollout.upstreams import ListedUpstream

from ..observe.events import log_event
from .clock import elapsed_s
from .interfaces import UpstreamCallFailure
from .metrics import RolloutMetrics, labels
from .shared_limits import SendTime, SharedLimits

LimitListener = Callable[[ListedUpstream, bool], None]

# A turn that passed this long ago, during a pause of the process, is not used.
TURN_VALIDITY_S = 0.5


class RateLimits:
    """Hold the limits of the upstreams that this node calls, and pace its requests."""

    def __init__(self, shared: SharedLimits, metrics: RolloutMetrics) -> None:
        self.shared = shared
        self.metrics = metrics
        self.stated = StatedLimits()
        # Requests to upstreams that only this node calls.
        self.own_schedule = SendSchedule()
        # Requests to upstreams that all nodes call, for times without the log.
        self.fallback_schedule = SendSchedule(burst_requests=1)
        self.listeners: list[LimitListener] = []

    def is_limited(self, upstream: ListedUpstream) -> bool:
        """Tell whether an upstream states a limit."""
        return self.stated.requests_per_s(incarnation_of(upstream)) is not None

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
            if before is None:
                self._count_in_fallback(key, requests_per_s)
            self.metrics.limited_responses.inc(labels(service=upstream.service))
        if changed or requests_per_s is not None:
            for listener in self.listeners:
                listener(upstream, requests_per_s is not None)
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
        return (
            None if reservation.granted else held_back(reservation.wait_us / US_PER_S)
        )

    async def take_shared(
        self, upstream: ListedUpstream, max_wait_s: float
    ) -> UpstreamCallFailure | None:
        """Wait for a turn at an upstream that all nodes call.

        Return None once the request may be sent, else why not and when to retry.
        """
        key = incarnation_of(upstream)
        requests_per_s = self.stated.requests_per_s(key)
        if requests_per_s is None:
            return None
        max_wait_us = int(max_wait_s * US_PER_S)
        send_time = await self.shared.reserve(
            key, interval_us(requests_per_s), max_wait_us
        )
        if send_time is None:
            send_time = self._reserve_in_fallback(key, requests_per_s, max_wait_us)
        elif send_time.granted:
            self._count_in_fallback(key, requests_per_s)
        if not send_time.granted:
            return held_back(send_time.at_s - elapsed_s())
        await asyncio.sleep(send_time.at_s - elapsed_s())
        if elapsed_s() > send_time.at_s + TURN_VALIDITY_S:
            log_event("send_turn_missed", upstream=upstream.upstream_id)
            return held_back(0.0)
        return None

    def _reserve_in_fallback(
        self, key: Incarnation, requests_per_s: float, max_wait_us: int
    ) -> SendTime:
        """Reserve a turn in this node's even share of a limit."""
        now_s = elapsed_s()
        share_interval_us = interval_us(requests_per_s) * self.shared.count_nodes()
        reservation = self.fallback_schedule.reserve(
            key, share_interval_us, int(now_s * US_PER_S), max_wait_us
        )
        return SendTime(reservation.granted, now_s + reservation.wait_us / US_PER_S)

    def _count_in_fallback(self, key: Incarnation, requests_per_s: float) -> None:
        """Count a request that is sent anyway against this node's share."""
        now_us = int(elapsed_s() * US_PER_S)
        share_interval_us = interval_us(requests_per_s) * self.shared.count_nodes()
        self.fallback_schedule.record_sent(key, share_interval_us, now_us)


def held_back(wait_s: float) -> UpstreamCallFailure:
    """Return the failure of a request that the rate limit allows only later."""
    return UpstreamCallFailure(
        Failure.RATE_LIMITED,
        "the upstream limits its rate",
        retry_after_s=max(0.0, wait_s),
    )
