"""Let requests wait for their turn at an upstream that limits its rate."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from fulmarpulley_core.ids import WorkId
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.stated_limits import incarnation_of
from fulmarpulley_core.rollout.upstreams import ListedState, ListedUpstream

from .directory import Directory
from .interfaces import UpstreamCallFailure
from .rate_limits import RateLimits


class TurnWait(NamedTuple):
    """Hold a request that waits for its turn, and the upstream."""

    work_id: WorkId
    upstream: ListedUpstream


class TurnWaits:
    """Own the waits; they end early when the node or the upstream stops."""

    def __init__(self, directory: Directory, limits: RateLimits) -> None:
        self.directory = directory
        self.limits = limits
        self.waits: dict[asyncio.Timeout, TurnWait] = {}
        directory.listeners.append(self._end_for_leaving)

    async def take(
        self,
        upstream: ListedUpstream,
        work_id: WorkId,
        latest: float | None,
        max_wait_s: float,
    ) -> UpstreamCallFailure | None:
        """Wait for a turn; return None once the request may be sent, else why not.

        :param latest: event loop time after which nothing is sent; None without one
        """
        held_back = None
        try:
            async with asyncio.timeout_at(latest) as time_limit:
                self.waits[time_limit] = TurnWait(work_id, upstream)
                try:
                    held_back = await self.limits.take_shared(upstream, max_wait_s)
                finally:
                    del self.waits[time_limit]
        except TimeoutError:
            held_back = _not_sent("the node stops before the turn of the request")
        if not self._accepts_requests(upstream):
            return _not_sent("the upstream leaves before the turn of the request")
        return held_back

    def limit(self, latest_start: Callable[[WorkId], float | None]) -> None:
        """Change the time after which the requests that wait are not sent."""
        for time_limit, wait in self.waits.items():
            if not time_limit.expired():
                time_limit.reschedule(latest_start(wait.work_id))

    def _end_for_leaving(self) -> None:
        for time_limit, wait in self.waits.items():
            if not time_limit.expired() and not self._accepts_requests(wait.upstream):
                time_limit.reschedule(asyncio.get_running_loop().time())

    def _accepts_requests(self, upstream: ListedUpstream) -> bool:
        """Tell whether this start of an upstream is listed and not draining."""
        listed = self.directory.upstream(upstream.upstream_id)
        return (
            listed is not None
            and listed.state is ListedState.READY
            and incarnation_of(listed) == incarnation_of(upstream)
        )


def _not_sent(reason: str) -> UpstreamCallFailure:
    return UpstreamCallFailure(Failure.NOT_SENT, reason)
