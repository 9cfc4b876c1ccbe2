"""Predict lengths of answers and hedge the last attempts of a step."""

from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument

from ..ids import PrefixId, TenantId
from .fair_queue import FairQueue
from .ledger import Ledger
from .retries import Budget
from .state import Attempt, Item, Pace, Upstream
from .timers import Timers

MEAN_WEIGHT = 0.1
REMEMBERED_PREFIXES = 4096
# An answer that is longer than predicted is expected to grow by this factor.
GROWTH = 1.25
SCAN_S = 0.25
# A hedge must promise to halve the remaining time and to save at least this
# much, since it takes a place at another upstream.
HEDGE_GAIN = 2.0
HEDGE_MIN_GAIN_S = 0.25
# A hedge may meet a slow upstream as well, of which nothing was known; a second one
# seldom does.
MAX_ATTEMPTS = 3
# Attempts below this multiple of the usual time per token need no closer look.
MILD_DELAY = 1.5
# An upstream whose attempts are all above it is slow. It is tried again after a while,
# since without attempts nothing is learnt of it.
SLOW_MEMORY_S = 4.0
# Hedges that may start at once, as a multiple of the budget's part of all slots.
HEDGE_BURST_STEPS = 2.0
MIN_HEDGE_BURST = 2.0


class Mean(msgspec.Struct):
    """Hold a moving mean that follows its first values at once."""

    value: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Take a value into the mean."""
        self.count += 1
        self.value += (value - self.value) * max(MEAN_WEIGHT, 1 / self.count)


class Lengths:
    """Predict how many tokens an answer has, and how fast they come."""

    def __init__(self) -> None:
        self.pace_s = Mean()
        self.first_token_s = Mean()
        self._tenants: dict[TenantId, Mean] = {}
        self._prefixes: OrderedDict[PrefixId, Mean] = OrderedDict()

    def note_first_token(self, attempt: Attempt, now: float) -> None:
        """Learn the time to the first token."""
        self.first_token_s.add(now - attempt.started)

    def note_finished(self, attempt: Attempt, now: float) -> None:
        """Learn the length and the pace of an answer."""
        work = attempt.item.work
        produced = attempt.tokens - attempt.resume_from
        if produced > 0:
            self.pace_s.add((now - attempt.started) / produced)
        self._tenants.setdefault(work.tenant, Mean()).add(attempt.tokens)
        if work.prefix:
            self._prefixes.setdefault(work.prefix, Mean()).add(attempt.tokens)
            self._prefixes.move_to_end(work.prefix)
            if len(self._prefixes) > REMEMBERED_PREFIXES:
                self._prefixes.popitem(last=False)

    def predict(self, item: Item) -> int:
        """Return the expected number of tokens of an answer in total."""
        work = item.work
        known = self._prefixes.get(work.prefix) or self._tenants.get(work.tenant)
        length = known.value if known else work.max_tokens
        if work.length_hint:
            length = work.length_hint
        if length <= item.received:
            length = item.received * GROWTH
        return max(item.received + 1, min(work.max_tokens, round(length)))


class Candidate(NamedTuple):
    """Hold an item that a hedge would help, and the seconds it would save."""

    gain: float
    item: Item


StartHedge = Callable[[Item, set[Upstream]], bool]


class Hedges:
    """Start second attempts for slow attempts at the tail of a step."""

    def __init__(
        self,
        document: ServiceDocument,
        ledger: Ledger,
        queue: FairQueue,
        lengths: Lengths,
        timers: Timers,
    ) -> None:
        self._ledger = ledger
        self._queue = queue
        self._lengths = lengths
        self._timers = timers
        self._armed = False
        self.document = document
        self.budget = Budget(document.hedges.budget_ratio, _burst(document), 0.0)
        self.start_hedge: StartHedge = lambda item, excluded: False

    def change_document(self, document: ServiceDocument) -> None:
        """Put the budget of a document in force."""
        self.document = document
        self.budget.ratio = document.hedges.budget_ratio
        self.budget.burst = _burst(document)

    def arm(self, now: float) -> None:
        """Scan regularly while attempts run."""
        if not self._armed and self._ledger.attempts:
            self._armed = True
            self._timers.at(now + SCAN_S, self._scan)

    def _scan(self, now: float) -> None:
        self._armed = False
        self.arm(now)
        for attempt in self._ledger.attempts.values():
            _note_pace(attempt, now)
        self._note_slow(now)
        if self.budget.wait(now) > 0 or not self._has_free_upstream():
            return
        found = sorted(self._candidates(now), key=lambda each: -each.gain)
        for candidate in found:
            if self.budget.wait(now) > 0:
                return
            item = candidate.item
            if self.start_hedge(item, {each.upstream for each in item.attempts}):
                self.budget.take(now)

    def _note_slow(self, now: float) -> None:
        usual = self._lengths.pace_s
        if not usual.count:
            return
        for upstream in self._ledger.upstreams.values():
            paces = [
                pace
                for attempt in upstream.attempts.values()
                if (pace := _recent_pace(attempt, now)) is not None
            ]
            if paces:
                slow = min(paces) > MILD_DELAY * usual.value
                upstream.slow_until = now + SLOW_MEMORY_S if slow else now

    def _has_free_upstream(self) -> bool:
        return any(upstream.is_free() for upstream in self._ledger.upstreams.values())

    def _candidates(self, now: float) -> Iterator[Candidate]:
        usual = self._lengths.pace_s
        if not usual.count:
            return
        for attempt in self._ledger.attempts.values():
            item = attempt.item
            if attempt is not item.attempts[0]:
                continue
            paces = [_progress(each, usual.value, now) for each in item.attempts]
            # Most attempts keep pace, and are left out before anything costly.
            if any(
                pace <= MILD_DELAY * usual.value and silence < HEDGE_MIN_GAIN_S
                for pace, silence in paces
            ):
                continue
            if self._may_hedge(item):
                gain = self._gain(item, paces)
                if gain >= HEDGE_MIN_GAIN_S:
                    yield Candidate(gain, item)

    def _may_hedge(self, item: Item) -> bool:
        if len(item.attempts) >= MAX_ATTEMPTS or not item.work.repeatable:
            return False
        # A hedge that is silent is cut as a stalled one; only a slow one gets another.
        if any(hedge.tokens <= hedge.resume_from for hedge in item.attempts[1:]):
            return False
        if not item.is_sample:
            return self.document.hedges.desk and not self._queue.desk_waiting
        return not self._queue.has_waiting(item.work.tenant, item.work.step)

    def _gain(self, item: Item, paces: Sequence[tuple[float, float]]) -> float:
        predicted = self._lengths.predict(item)
        # A silence is expected to last as long again as it has lasted.
        stay = min(
            (predicted - attempt.tokens) * pace + silence
            for attempt, (pace, silence) in zip(item.attempts, paces, strict=True)
        )
        left = predicted - item.received
        move = self._lengths.first_token_s.value + left * self._lengths.pace_s.value
        return stay - move if stay > HEDGE_GAIN * move else 0.0


def _progress(attempt: Attempt, usual: float, now: float) -> tuple[float, float]:
    """Return the seconds per token of an attempt and since its last token."""
    since = attempt.silent_since(now)
    produced = attempt.tokens - attempt.resume_from
    pace = (since - attempt.started) / produced if produced else usual
    return _recent_pace(attempt, now) or pace, now - since


def _recent_pace(attempt: Attempt, now: float) -> float | None:
    since = attempt.silent_since(now)
    return attempt.pace.token_s(since, attempt.tokens) if attempt.pace else None


def _note_pace(attempt: Attempt, now: float) -> None:
    if attempt.pace is None:
        begin = (now, attempt.tokens)
        attempt.pace = Pace(begin, begin)
    attempt.pace.note(now, attempt.tokens)


def _burst(document: ServiceDocument) -> float:
    ratio = document.hedges.budget_ratio
    slots = sum(entry.capacity for entry in document.upstreams)
    return max(MIN_HEDGE_BURST, HEDGE_BURST_STEPS * ratio * slots) if ratio else 0.0
