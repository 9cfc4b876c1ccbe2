"""Admit desk requests by queue length and by the wait for their account's turn."""

from collections.abc import Collection
from typing import NamedTuple

from fulmarpulley_schema.generated.document import ServiceDocument

from ..seeded_random import SeededRandom
from .fair_queue import FairQueue
from .messages import Availability
from .state import Attempt, Item, Upstream

# Weight of the newest attempt in the moving mean of seconds per token.
PACE_WEIGHT = 0.1
# The rest of the time until the deadline is left for the upstream.
MAX_SEND_WAIT_SHARE = 0.6
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# Random factor that spreads the retries of callers that were refused together.
RETRY_AFTER_SPREAD = (0.75, 1.25)
# Expected duration of an account's request as a multiple of the mean. An account that
# floods is always at the limit of its wait, so that with the mean alone every request
# that takes longer would miss its deadline while it runs.
ACCOUNT_DURATION_FACTOR = 2.0


def longest_send_wait_s(remaining_s: float) -> float:
    """Return how long a request may wait to be sent and still be answered in time."""
    return max(0.0, remaining_s * MAX_SEND_WAIT_SHARE)


class Refusal(NamedTuple):
    """Give the reason why a work item is not admitted."""

    code: str
    retry_after: float | None = None


class Admission:
    """Refuse requests on submission that would wait past their deadline."""

    def __init__(self, document: ServiceDocument, jitter: SeededRandom) -> None:
        self.document = document
        self._jitter = jitter
        self._seconds_per_token: float | None = None

    def record_finished(self, attempt: Attempt, now: float) -> None:
        """Update the mean time per token with a finished attempt."""
        produced = attempt.tokens - attempt.resume_from
        tokens = attempt.item.work.prompt_tokens + produced
        pace = (now - attempt.started_at) / max(1, tokens)
        known = pace if self._seconds_per_token is None else self._seconds_per_token
        self._seconds_per_token = known + PACE_WEIGHT * (pace - known)

    def check(
        self,
        item: Item,
        charge: int,
        queue: FairQueue,
        upstreams: Collection[Upstream],
        now: float,
    ) -> Refusal | None:
        """Return why an item cannot be answered in time, or None to admit it.

        Samples are admitted whatever the load, since their trainer waits in any case.
        """
        if item.deadline is not None and item.deadline <= now:
            return Refusal("deadline_passed")
        if item.is_sample:
            return None
        if not any(u.availability() is Availability.AVAILABLE for u in upstreams):
            return Refusal("no_upstream", self._retry_after(MIN_RETRY_AFTER_S * 2))
        return self.check_limits(item, upstreams, now) or self._check_queue(
            item, charge, queue, upstreams, now
        )

    def check_limits(
        self, item: Item, upstreams: Collection[Upstream], now: float
    ) -> Refusal | None:
        """Return why the rate limits of all upstreams delay an item too much."""
        if item.deadline is None:
            return None
        waits = [
            u.turn_wait_s(now)
            for u in upstreams
            if u.availability() is Availability.AVAILABLE
        ]
        wait = min(waits, default=0.0)
        if wait <= longest_send_wait_s(item.deadline - now):
            return None
        return Refusal("rate_limited", wait * self._jitter.uniform(*RETRY_AFTER_SPREAD))

    def _check_queue(
        self,
        item: Item,
        charge: int,
        queue: FairQueue,
        upstreams: Collection[Upstream],
        now: float,
    ) -> Refusal | None:
        slots = sum(u.slots for u in upstreams)
        wait = self.duration_s(queue.tokens_before(item.work, charge), slots)
        if self._is_full(queue) and queue.displaceable(item.work) is None:
            return Refusal("overloaded", self._retry_after(wait / 2))
        if not queue.desk_waiting or item.deadline is None:
            return None
        own = self.duration_s(charge, 1)
        if item.work.account:
            own *= ACCOUNT_DURATION_FACTOR
        late = now + wait + own - item.deadline
        if late <= 0:
            return None
        # An account comes back when what it has waiting is served.
        retry_after = max(late, wait) if item.work.account else late
        return Refusal("overloaded", self._retry_after(retry_after))

    def displaced(
        self, item: Item, queue: FairQueue, upstreams: Collection[Upstream]
    ) -> tuple[Item, Refusal] | None:
        """Return what a full queue refuses to make room for an admitted item."""
        if item.is_sample or not self._is_full(queue):
            return None
        displaced = queue.displaceable(item.work)
        if displaced is None:
            return None
        slots = sum(u.slots for u in upstreams)
        tokens = queue.tokens_before(displaced.work, displaced.charge)
        retry_after = self._retry_after(self.duration_s(tokens, slots) / 2)
        return displaced, Refusal("overloaded", retry_after)

    def _is_full(self, queue: FairQueue) -> bool:
        return queue.desk_waiting >= self.document.limits.queue

    def duration_s(self, tokens: float, slots: int) -> float:
        """Return how long a number of slots takes for tokens at the mean pace."""
        return (self._seconds_per_token or 0.0) * tokens / max(1, slots)

    def _retry_after(self, wait: float) -> float:
        spread = wait * self._jitter.uniform(*RETRY_AFTER_SPREAD)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, spread))
