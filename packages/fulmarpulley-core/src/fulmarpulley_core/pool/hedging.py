"""Predict lengths of answers and hedge slow attempts at the end of a step."""

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple, TypeVar

from fulmarpulley_schema.generated.document import ServiceDocument

from ..ids import PrefixId, TenantId
from .fair_queue import FairQueue
from .ledger import Ledger
from .means import Mean
from .retries import Budget
from .state import Attempt, Item, RecentPace, Upstream
from .timers import Timers

MAX_TRACKED_PREFIXES = 4096
MAX_TRACKED_TENANTS = 4096
# Factor by which an answer that exceeds its prediction is expected to grow further.
OVERRUN_GROWTH = 1.25
SCAN_INTERVAL_S = 0.25
# A hedge must be expected to halve the remaining time and to save at least this much,
# since it occupies a slot of another upstream.
HEDGE_MIN_SPEEDUP = 2.0
HEDGE_MIN_GAIN_S = 0.25
# A hedge may start at another upstream that is not yet known to be slow; a second one
# seldom does.
MAX_PARALLEL_ATTEMPTS = 3
# Attempts below this multiple of the mean time per token are not considered slow.
SLOW_PACE_RATIO = 1.5
# An upstream whose attempts are all slow is marked for this time. It is used again
# afterwards, since without attempts its speed is unknown.
SLOW_MARK_S = 4.0
# Hedges that may start in a burst, as a multiple of the budget's share of all slots.
HEDGE_BURST_FACTOR = 2.0
MIN_HEDGE_BURST = 2.0

Key = TypeVar("Key")


class LengthEstimator:
    """Estimate the length of answers and the time per token."""

    def __init__(self) -> None:
        self.seconds_per_token = Mean()
        self.first_token_s = Mean()
        self._tenants: OrderedDict[TenantId, Mean] = OrderedDict()
        self._prefixes: OrderedDict[PrefixId, Mean] = OrderedDict()

    def record_first_token(self, attempt: Attempt, now: float) -> None:
        """Update the mean time to the first token."""
        self.first_token_s.add(now - attempt.started_at)

    def record_finished(self, attempt: Attempt, now: float) -> None:
        """Update the means with the length and the time per token of an answer."""
        work = attempt.item.work
        produced = attempt.tokens - attempt.resume_from
        if produced > 0:
            self.seconds_per_token.add((now - attempt.started_at) / produced)
        _add_length(self._tenants, work.tenant, attempt.tokens, MAX_TRACKED_TENANTS)
        if work.prefix:
            _add_length(
                self._prefixes, work.prefix, attempt.tokens, MAX_TRACKED_PREFIXES
            )

    def predict(self, item: Item) -> int:
        """Return the expected number of tokens of an answer in total."""
        work = item.work
        known = self._prefixes.get(work.prefix) or self._tenants.get(work.tenant)
        length = known.value if known else work.max_tokens
        if work.length_hint:
            length = work.length_hint
        if length <= item.received_tokens:
            length = item.received_tokens * OVERRUN_GROWTH
        return max(item.received_tokens + 1, min(work.max_tokens, round(length)))


class Candidate(NamedTuple):
    """Hold an item that a hedge would help, and the seconds it would save."""

    saved_s: float
    item: Item


StartHedge = Callable[[Item, set[Upstream]], bool]


class HedgeScheduler:
    """Start hedges for slow attempts at the end of a step."""

    def __init__(
        self,
        document: ServiceDocument,
        ledger: Ledger,
        queue: FairQueue,
        lengths: LengthEstimator,
        timers: Timers,
    ) -> None:
        self._ledger = ledger
        self._queue = queue
        self._lengths = lengths
        self._timers = timers
        self._scan_scheduled = False
        self.document = document
        self.budget = Budget(document.hedges.budget_ratio, _burst(document), 0.0)
        self.start_hedge: StartHedge = lambda item, excluded: False

    def change_document(self, document: ServiceDocument) -> None:
        """Apply the budget of a document."""
        self.document = document
        self.budget.ratio = document.hedges.budget_ratio
        self.budget.burst = _burst(document)

    def schedule_scan(self, now: float) -> None:
        """Schedule the next scan for slow attempts while any attempt runs."""
        if not self._scan_scheduled and self._ledger.attempts:
            self._scan_scheduled = True
            self._timers.at(now + SCAN_INTERVAL_S, self._scan)

    def _scan(self, now: float) -> None:
        self._scan_scheduled = False
        self.schedule_scan(now)
        for attempt in self._ledger.attempts.values():
            _record_pace(attempt, now)
        self._mark_slow_upstreams(now)
        if self.budget.wait_s(now) > 0 or not self._has_free_upstream():
            return
        candidates = sorted(self._candidates(now), key=lambda each: -each.saved_s)
        for candidate in candidates:
            if self.budget.wait_s(now) > 0:
                return
            item = candidate.item
            if self.start_hedge(item, {each.upstream for each in item.attempts}):
                self.budget.take(now)

    def _mark_slow_upstreams(self, now: float) -> None:
        usual = self._lengths.seconds_per_token
        if not usual.count:
            return
        for upstream in self._ledger.upstreams.values():
            paces = [
                pace
                for attempt in upstream.attempts.values()
                if (pace := _recent_pace(attempt, now)) is not None
            ]
            if paces:
                slow = min(paces) > SLOW_PACE_RATIO * usual.value
                upstream.slow_until = now + SLOW_MARK_S if slow else now

    def _has_free_upstream(self) -> bool:
        return any(upstream.is_free() for upstream in self._ledger.upstreams.values())

    def _candidates(self, now: float) -> Iterator[Candidate]:
        usual = self._lengths.seconds_per_token
        if not usual.count:
            return
        for attempt in self._ledger.attempts.values():
            item = attempt.item
            if attempt is not item.attempts[0]:
                continue
            paces = [
                _pace_and_silence(each, usual.value, now) for each in item.attempts
            ]
            # Most attempts are fast enough; skip them before the costly checks.
            if any(
                pace <= SLOW_PACE_RATIO * usual.value and silence < HEDGE_MIN_GAIN_S
                for pace, silence in paces
            ):
                continue
            if self._may_hedge(item):
                saved_s = self._saved_s(item, paces)
                if saved_s >= HEDGE_MIN_GAIN_S:
                    yield Candidate(saved_s, item)

    def _may_hedge(self, item: Item) -> bool:
        if len(item.attempts) >= MAX_PARALLEL_ATTEMPTS or not item.work.repeatable:
            return False
        # A silent hedge is left to the stall check; only a slow one gets another hedge.
        if any(hedge.tokens <= hedge.resume_from for hedge in item.attempts[1:]):
            return False
        if not item.is_sample:
            return self.document.hedges.desk and not self._queue.desk_waiting
        return not self._queue.has_waiting(item.work.tenant, item.work.step)

    def _saved_s(self, item: Item, paces: Sequence[tuple[float, float]]) -> float:
        predicted = self._lengths.predict(item)
        # A silence is expected to last as long again as it has so far.
        remaining_s = min(
            (predicted - attempt.tokens) * pace + silence
            for attempt, (pace, silence) in zip(item.attempts, paces, strict=True)
        )
        left = predicted - item.received_tokens
        hedge_s = (
            self._lengths.first_token_s.value
            + left * self._lengths.seconds_per_token.value
        )
        return (
            remaining_s - hedge_s if remaining_s > HEDGE_MIN_SPEEDUP * hedge_s else 0.0
        )


def _add_length(
    means: OrderedDict[Key, Mean], key: Key, tokens: int, most: int
) -> None:
    """Add a length to a mean; keep the means that were changed last."""
    means.setdefault(key, Mean()).add(tokens)
    means.move_to_end(key)
    if len(means) > most:
        means.popitem(last=False)


def _pace_and_silence(
    attempt: Attempt, usual: float, now: float
) -> tuple[float, float]:
    """Return the seconds per token of an attempt and those since its last token."""
    since = attempt.silent_since(now)
    produced = attempt.tokens - attempt.resume_from
    pace = (since - attempt.started_at) / produced if produced else usual
    return _recent_pace(attempt, now) or pace, now - since


def _recent_pace(attempt: Attempt, now: float) -> float | None:
    since = attempt.silent_since(now)
    return (
        attempt.recent_pace.seconds_per_token(since, attempt.tokens)
        if attempt.recent_pace
        else None
    )


def _record_pace(attempt: Attempt, now: float) -> None:
    if attempt.recent_pace is None:
        begin = (now, attempt.tokens)
        attempt.recent_pace = RecentPace(begin, begin)
    attempt.recent_pace.update(now, attempt.tokens)


def _burst(document: ServiceDocument) -> float:
    ratio = document.hedges.budget_ratio
    slots = sum(entry.capacity for entry in document.upstreams)
    return max(MIN_HEDGE_BURST, HEDGE_BURST_FACTOR * ratio * slots) if ratio else 0.0
