"""Test that long runs leave engines that are slow for a moment."""

import heapq
import random
from collections.abc import Callable
from itertools import count
from unittest import TestCase

from fulmarpulley_core.ids import AttemptId, UpstreamId, Version
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.pool.relocation import MIN_BUDGET
from fulmarpulley_core.pool.state import Item

from .pool_fixtures import MODEL, Driver, document, sample, starts

INTERVAL_S = 0.046
PREFILL_S = 0.02
SLOW_FACTOR = 2.5
PERIOD_S = 0.6
ENGINES = [f"u{number}" for number in range(10)]
LONG, SHORT = 134, 12
DUE_S = 7.5

SlowAt = Callable[[str, float], bool]


def slow_periods(seed: int) -> SlowAt:
    """Return periods of engines of which 15 in 100 are slow."""
    generator = random.Random(seed)
    slow = {(n, p) for n in ENGINES for p in range(40) if generator.random() < 0.15}
    return lambda name, now: (name, int(now / PERIOD_S)) in slow


def slow_between(names: list[str], since: float, until: float) -> SlowAt:
    return lambda name, now: name in names and since <= now < until


class Play:
    """Run four long items beside short ones that follow each other."""

    def __init__(
        self,
        slow_at: SlowAt,
        due: float | None = DUE_S,
        short_items: int = 30,
        long_items: int = 4,
    ) -> None:
        self.driver = Driver(document(ENGINES, capacity=4))
        self.driver.report_versions(1, *ENGINES)
        self.slow_at = slow_at
        self.due = due
        self.names = count()
        self.events: list[tuple[float, str, str, int]] = []
        self.cancelled: set[str] = set()
        self.ends: dict[str, float] = {}
        self.moves: list[tuple[float, m.StartAttempt]] = []

        for number in range(short_items):
            self.submit(f"short{number}", SHORT)
        for number in range(long_items):
            self.submit(f"long{number}", LONG)

    def run(self, until: float) -> list[float]:
        """Return when each long item ended until a time."""
        while self.events or self.driver.pool.next_wakeup() is not None:
            wakeup = self.driver.pool.next_wakeup() or until
            event_at = self.events[0][0] if self.events else until
            if min(wakeup, event_at) >= until:
                break
            if wakeup < event_at:
                self.driver.now = max(self.driver.now, wakeup)
                self.apply(self.driver.send(m.Tick()))
            else:
                self.handle(*heapq.heappop(self.events))
        return [end for name, end in self.ends.items() if name.startswith("long")]

    def submit(self, name: str, length: int) -> None:
        limits = {"max_tokens": LONG, "length_hint": length}
        due = self.due and self.driver.now + self.due
        work = sample(name, due=due, **limits)
        self.apply(self.driver.send(m.Submit(work)))

    def handle(self, at: float, attempt: str, name: str, tokens: int) -> None:
        self.driver.now = at
        if attempt in self.cancelled:
            return
        item = attempt.partition("#")[0]
        if tokens < (LONG if item.startswith("long") else SHORT):
            self.apply(self.driver.progress(AttemptId(attempt), tokens))
            self.plan(attempt, name, tokens, 0.0)
            return
        self.ends[item] = at
        self.apply(self.driver.finish(AttemptId(attempt), tokens))
        if item.startswith("short"):
            self.submit(f"short.{next(self.names)}", SHORT)

    def plan(self, attempt: str, name: str, tokens: int, wait_s: float) -> None:
        factor = SLOW_FACTOR if self.slow_at(name, self.driver.now) else 1.0
        at = self.driver.now + wait_s + INTERVAL_S * factor
        heapq.heappush(self.events, (at, attempt, name, tokens + 1))

    def apply(self, actions: list[m.Action]) -> None:
        for action in actions:
            if isinstance(action, m.CancelAttempt):
                self.cancelled.add(action.attempt_id)
        for start in starts(actions):
            self.plan(start.attempt_id, start.upstream, start.resume_from, PREFILL_S)
            reason = self.driver.pool.start_reason(start.attempt_id)
            if reason is m.StartReason.SLOW_ENGINE:
                self.moves.append((self.driver.now, start))


class RelocationTest(TestCase):
    """Guards against steps that are late since a long run stays on a slow engine."""

    def test_longest_items_end_earlier_when_engines_are_slow_for_600_ms(self) -> None:
        before: list[float] = []
        after: list[float] = []
        for seed in range(8):
            before += Play(slow_periods(seed), due=None).run(12.0)
            after += Play(slow_periods(seed)).run(12.0)
        self.assertEqual(len(before), len(after))
        lost_before, lost_after = (
            sum(end - PREFILL_S - LONG * INTERVAL_S for end in ends)
            for ends in (before, after)
        )
        self.assertLess(lost_after, 0.7 * lost_before)
        late = [sum(end > DUE_S for end in ends) for ends in (before, after)]
        self.assertLess(late[1], late[0])

    def test_run_leaves_a_slow_engine_and_one_attempt_is_cancelled(self) -> None:
        play = Play(never_slow)
        play.run(2.0)
        engine = engine_of(play)
        play.slow_at = slow_between([engine], 2.0, 2.6)
        play.run(2.7)
        moved = [start for _, start in play.moves if start.work_id == "long0"]
        self.assertEqual(len(moved), 1)
        self.assertNotEqual(moved[0].upstream, engine)
        self.assertEqual(attempts_of(play), [moved[0].upstream])

    def test_new_attempt_that_falls_behind_is_cancelled_within_400_ms(self) -> None:
        # Guards against two attempts that go on, and against the loss of the faster.
        play = Play(never_slow)
        play.run(2.0)
        engine = engine_of(play)
        play.slow_at = slow_between([engine], 2.0, 2.05)
        play.run(2.15)
        self.assertEqual(len(attempts_of(play)), 2)
        others = [name for name in ENGINES if name != engine]
        play.slow_at = slow_between(others, 2.15, 3.0)
        play.run(2.6)
        self.assertEqual(attempts_of(play), [engine])

    def test_run_goes_on_where_it_was_when_the_new_attempt_breaks(self) -> None:
        play = Play(never_slow)
        play.run(2.0)
        engine = engine_of(play)
        play.slow_at = slow_between([engine], 2.0, 2.6)
        play.run(2.15)
        new = next(start for _, start in play.moves if start.work_id == "long0")
        play.cancelled.add(new.attempt_id)
        play.apply(play.driver.fail(new.attempt_id, m.Failure.BROKEN))
        play.run(2.55)
        self.assertEqual(attempts_of(play), [engine])
        self.assertEqual(len(play.run(12.0)), 4)

    def test_short_items_and_items_without_a_due_time_stay(self) -> None:
        play = Play(slow_periods(1), due=None)
        play.run(9.0)
        self.assertEqual(play.moves, [])
        self.assertEqual(play.driver.pool.components.relocator.intervals.count, 0)
        # A short item that starts late is expected to end after it is due.
        play = Play(never_slow, short_items=20)
        late = {"max_tokens": LONG, "length_hint": 16, "min_version": 2}
        play.driver.submit(sample("late", due=3.0, **late))
        play.run(2.6)
        for name in ENGINES:
            play.apply(
                play.driver.send(m.VersionReport(UpstreamId(name), MODEL, Version(2)))
            )
        engine = engine_of(play, "late")
        play.slow_at = slow_between([engine], 2.7, 3.3)
        play.run(9.0)
        self.assertIn("late", play.ends)
        self.assertNotIn("late", [start.work_id for _, start in play.moves])

    def test_nothing_moves_while_all_engines_are_slow(self) -> None:
        play = Play(slow_between(ENGINES, 2.0, 6.0))
        play.run(6.0)
        self.assertEqual(play.moves, [])

    def test_nothing_moves_while_the_owner_reads_events_late(self) -> None:
        # Guards against silence that is only that of a busy owner.
        play = Play(never_slow)
        play.run(2.0)
        attempt = item_of(play).attempts[0]
        play.events = [e for e in play.events if e[1] != attempt.attempt_id]
        play.run(attempt.last_token_at + 0.075)
        # The event is overdue after 0.08 s. Others came less than 0.08 s ago.
        play.driver.now = attempt.last_token_at + 0.115
        play.apply(play.driver.send(m.Tick()))
        self.assertEqual(play.moves, [])

    def test_silence_during_a_load_of_weights_moves_nothing(self) -> None:
        play = Play(never_slow)
        play.run(2.0)
        engine = engine_of(play)
        upstreams = play.driver.pool.components.ledger.upstreams
        upstreams[UpstreamId(engine)].loading.add(MODEL)
        play.events = [event for event in play.events if event[2] != engine]
        play.run(3.0)
        self.assertEqual(play.moves, [])
        upstreams[UpstreamId(engine)].loading.clear()
        play.run(3.2)
        self.assertIn("long0", [start.work_id for _, start in play.moves])

    def test_nothing_moves_without_free_slots(self) -> None:
        play = Play(slow_periods(1), short_items=36)
        play.run(6.0)
        self.assertEqual(play.moves, [])
        self.assertGreater(
            play.driver.pool.components.relocator.counts.without_engine, 0
        )

    def test_moves_stay_within_the_budget(self) -> None:
        play = Play(never_slow, short_items=10, long_items=6)
        play.run(2.0)
        engines = [engine_of(play, f"long{number}") for number in range(6)]
        self.assertLess(len(set(engines)), len(ENGINES))
        play.slow_at = slow_between(engines, 2.0, 2.6)
        play.run(2.6)
        self.assertEqual(len(play.moves), MIN_BUDGET)
        self.assertGreater(play.driver.pool.components.relocator.counts.over_budget, 0)


def never_slow(name: str, now: float) -> bool:
    return False


def engine_of(play: Play, name: str = "long0") -> str:
    return attempts_of(play, name)[0]


def attempts_of(play: Play, name: str = "long0") -> list[str]:
    return [attempt.upstream.upstream_id for attempt in item_of(play, name).attempts]


def item_of(play: Play, name: str = "long0") -> Item:
    return play.driver.pool.components.ledger.items[sample(name).work_id]
