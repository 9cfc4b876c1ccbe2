"""Move long runs away from engines that are slow for a moment."""

import math
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from .fair_queue import FairQueue
from .hedging import LengthEstimator
from .ledger import Ledger
from .state import Attempt, Item, Upstream
from .timers import Timers

# A run qualifies if its expected rest takes more than this share of the time until its
# step is due. The longest runs take 6.6 to 8.4 s of 7.5 s.
RISK_SHARE = 0.7
# Runs that are expected to take less than this share of the time allowed are short and
# never moved: 2.3 s of 7.5 s, while half of the answers take 0.7 s.
LONG_RUN_SHARE = 0.3
# A slow period costs 0.36 s at most, so a shorter rest is not worth a connection.
MIN_REST_S = 0.5
# An event is overdue after this multiple of the usual interval. An engine takes 2.5
# times the usual interval in a slow period.
OVERDUE_RATIO = 1.7
# The first intervals of a pool are too few to tell what is usual.
MIN_INTERVALS = 20
# Events that follow within this time were read together, after a delay of a link or of
# this process. Engines take at least 46 ms for an event.
MIN_INTERVAL_S = 0.005
# Step by which the usual interval follows the measured ones. It takes some 460 events
# to follow a slowdown of all engines by 2.5.
INTERVAL_STEP = 0.002
# An idle engine counts as fast for this time after its last events.
IDLE_EVIDENCE_S = 2.0
# Events may wait unread in a process whose timers are later than this.
MAX_TIMER_DELAY_S = 0.025
# Runs that do not qualify are looked at again after this time at the earliest.
MIN_CHECK_S = 0.25
# Checks of several runs share a timer of the process, since they are due at multiples
# of these times.
CHECK_GRID_S = 0.05
OVERDUE_GRID_S = 0.005
# After this time the slower one of both attempts is cancelled.
SETTLE_S = 0.4
MAX_MOVES = 5
MIN_MOVE_INTERVAL_S = 0.5
# Moves that may start within a second, as a share of the running attempts. Some 14 of
# 280 runs are long, and each meets a slow period every 4 s.
BUDGET_SHARE = 0.05
BUDGET_WINDOW_S = 1.0
MIN_BUDGET = 4


class TypicalInterval(msgspec.Struct):
    """Estimate the median of intervals in constant time and memory."""

    value: float = 0.0
    count: int = 0

    def add(self, interval: float) -> None:
        """Move the estimate towards an interval."""
        self.count += 1
        if self.count <= MIN_INTERVALS:
            self.value += (interval - self.value) / self.count
        elif interval > self.value:
            self.value *= 1 + INTERVAL_STEP
        else:
            self.value *= 1 - INTERVAL_STEP


class Move(NamedTuple):
    """Hold both attempts of an item that is being moved."""

    former: Attempt
    new: Attempt


class MoveCounts(msgspec.Struct):
    """Count moves by outcome, and the tokens that the other engines read again.

    `over_budget` and `without_engine` count the times that a run was to be moved and
    was not.
    """

    started: int = 0
    won: int = 0
    lost: int = 0
    over_budget: int = 0
    without_engine: int = 0
    tokens: int = 0


StartMove = Callable[[Item, list[Upstream]], Attempt | None]


class Relocator:
    """Start a second attempt of a run that would be late, and keep the faster one.

    Each running attempt whose item has a due time holds one timer. It is only as
    frequent as events for runs that qualify.
    """

    def __init__(
        self,
        ledger: Ledger,
        queue: FairQueue,
        lengths: LengthEstimator,
        timers: Timers,
    ) -> None:
        self._ledger = ledger
        self._queue = queue
        self._lengths = lengths
        self._timers = timers
        self._moves: dict[Item, Move] = {}
        self._started_at: deque[float] = deque()
        self._no_target_until = -math.inf
        self.intervals = TypicalInterval()
        self.counts = MoveCounts()
        self.start_move: StartMove = lambda item, targets: None

    def watch(self, attempt: Attempt, now: float) -> None:
        """Check a started attempt from now on, if its item has a due time."""
        work = attempt.item.work
        if (
            work.due is not None
            and attempt.item.is_sample
            and work.repeatable
            and work.streams
            and attempt.upstream.is_engine()
        ):
            self._check(attempt, now, now)

    def record_event(self, attempt: Attempt, now: float) -> None:
        """Measure the interval before an event that is not recorded yet."""
        # The first event also waits for the prompt.
        if attempt.item.work.due is None or attempt.tokens <= attempt.resume_from:
            return
        upstream = attempt.upstream
        upstream.last_event_at = now
        interval = now - attempt.last_token_at
        if interval >= MIN_INTERVAL_S:
            upstream.event_interval_s = interval
            self.intervals.add(interval)

    def record_progress(self, attempt: Attempt) -> None:
        """Cancel the former attempt of an item once the new one is ahead."""
        move = self._moves.get(attempt.item)
        if (
            move is not None
            and attempt is move.new
            and attempt.tokens > move.former.tokens
        ):
            self._end(move, move.former)

    def _schedule(
        self, attempt: Attempt, when: float, grid_s: float = OVERDUE_GRID_S
    ) -> None:
        # A product that is rounded down must not be due at once, again and again.
        due = max(when, math.ceil(when / grid_s) * grid_s)
        self._timers.at(due, lambda now: self._check(attempt, due, now))

    def _check(self, attempt: Attempt, due: float, now: float) -> None:
        if not self._ledger.is_running(attempt):
            return
        wait_s = self._qualifies_in(attempt.item, now)
        if wait_s > 0:
            attempt.pause_possible = True
            self._schedule(attempt, now + wait_s, CHECK_GRID_S)
            return
        limit_s = self._limit_s()
        overdue_at = self._silent_since(attempt, now) + limit_s
        if overdue_at > now:
            self._schedule(attempt, overdue_at)
        elif now - due > MAX_TIMER_DELAY_S:
            self._schedule(attempt, now + MAX_TIMER_DELAY_S)
        else:
            self._move(attempt, now)
            self._schedule(attempt, now + limit_s / 2)

    def _qualifies_in(self, item: Item, now: float) -> float:
        """Return the seconds until an item may qualify at the earliest; 0 if it does.

        At the usual pace the expected rest decreases faster than the share of the time
        until the step is due, so only a pause or a longer answer makes it qualify.
        """
        pace, due = self._lengths.seconds_per_token, item.work.due
        if due is None or not pace.count or self.intervals.count < MIN_INTERVALS:
            return MIN_CHECK_S
        predicted = self._lengths.predict(item)
        rest_s = (predicted - item.received_tokens) * pace.value
        if predicted * pace.value < LONG_RUN_SHARE * (due - item.submitted_at):
            return max(MIN_CHECK_S, rest_s)
        spare_s = (due - now) - rest_s / RISK_SHARE
        if spare_s > 0:
            return max(MIN_CHECK_S, min(spare_s, rest_s))
        return MIN_CHECK_S if rest_s < MIN_REST_S else 0.0

    def _limit_s(self) -> float:
        return OVERDUE_RATIO * self.intervals.value

    def _silent_since(self, attempt: Attempt, now: float) -> float:
        """Return since when an event is awaited; loads and the prompt do not count."""
        # A load may have ended at any time since the check before.
        is_loading = bool(attempt.upstream.loading)
        is_first = attempt.tokens <= attempt.resume_from
        if is_loading or is_first or attempt.pause_possible:
            attempt.not_silent_until = now
        attempt.pause_possible = is_loading
        return max(attempt.silent_since(now), attempt.not_silent_until)

    def _move(self, attempt: Attempt, now: float) -> None:
        item = attempt.item
        work = item.work
        if (
            not _is_ahead(attempt)
            or item in self._moves
            or item.moves >= MAX_MOVES
            or now - item.moved_at < MIN_MOVE_INTERVAL_S
            or self._queue.has_waiting(work.tenant, work.step)
        ):
            return
        if not self._has_budget(now):
            self.counts.over_budget += 1
            return
        # A text should not change its version only because its run is moved.
        version = attempt.upstream.versions.get(work.model)
        targets = [
            upstream
            for upstream in self._targets(attempt.upstream, now)
            if upstream.versions.get(work.model) == version
        ]
        new = self.start_move(item, targets) if targets else None
        if new is None:
            self.counts.without_engine += 1
            return
        item.moves += 1
        item.moved_at = now
        self._started_at.append(now)
        self.counts.started += 1
        self.counts.tokens += work.prompt_tokens + new.resume_from
        for other in list(item.attempts):
            # A hedge that has fallen behind would only keep its slot.
            if other not in {attempt, new}:
                self._ledger.cancel(other)
        move = self._moves[item] = Move(attempt, new)
        self._timers.at(now + SETTLE_S, lambda _: self._settle(move))

    def _has_budget(self, now: float) -> bool:
        started_at = self._started_at
        while started_at and started_at[0] <= now - BUDGET_WINDOW_S:
            started_at.popleft()
        share = int(BUDGET_SHARE * len(self._ledger.attempts))
        return len(started_at) < max(MIN_BUDGET, share)

    def _targets(self, source: Upstream, now: float) -> Sequence[Upstream]:
        """Return the free engines that are fast, if any engine is known to be."""
        if now < self._no_target_until:
            return []
        limit_s = self._limit_s()
        others = [
            upstream
            for upstream in self._ledger.upstreams.values()
            if upstream is not source
            and upstream.event_interval_s <= limit_s
            and upstream.keeps_pace(now)
            and not upstream.loading
        ]
        fast = [u for u in others if now - u.last_event_at <= limit_s]
        if not fast:
            # The search takes time for each engine; a general slowdown repeats it.
            self._no_target_until = now + limit_s / 2
            return []
        free = [u for u in fast if u.is_free()]
        return free or [
            u
            for u in others
            if not u.attempts
            and u.is_free()
            and now - u.last_event_at <= IDLE_EVIDENCE_S
        ]

    def _settle(self, move: Move) -> None:
        if self._moves.get(move.new.item) is not move:
            return
        former, new = move
        is_ahead = new.tokens > new.resume_from and new.tokens >= former.tokens
        self._end(move, former if is_ahead else new)

    def _end(self, move: Move, slower: Attempt) -> None:
        del self._moves[move.new.item]
        if not all(self._ledger.is_running(attempt) for attempt in move):
            return
        self._ledger.cancel(slower)
        if slower is move.former:
            self.counts.won += 1
        else:
            self.counts.lost += 1


def _is_ahead(attempt: Attempt) -> bool:
    """Tell whether the other attempts of the item have begun and are behind."""
    return all(
        other.resume_from < other.tokens < attempt.tokens
        for other in attempt.item.attempts
        if other is not attempt
    )
