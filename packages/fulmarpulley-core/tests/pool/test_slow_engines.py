"""Guard training steps against engines that turn slow while they run."""

import random
from unittest import TestCase

import msgspec

from fulmarpulley_core.ids import AttemptId, StepNumber
from fulmarpulley_core.pool import messages as m

from .pool_fixtures import Driver, document, sample, starts

# The engines of a deployment that serve one model, and the steps of its trainer: most
# answers take a second, one in twelve five times as long, and hints are often far off.
ENGINES = 8
SLOTS = 8
ITEMS = 64
EVENT_S = 0.05
MEAN_EVENTS, LONGEST_EVENTS = 25.0, 144
SPREAD, HINT_SPREAD = 0.84, 0.5
TAIL, TAIL_FACTOR = 0.08, 5.0
STEPS = 6
STEP_EVERY_S = 4.0
# Two engines are four times slower for eight seconds.
SLOW_ENGINES = 2
SLOW_FACTOR = 4
SLOW_FROM_S, SLOW_UNTIL_S = 5.5, 13.5
# The longest item takes 7.2 s; a slow engine is noticed and left within 2 s.
DUE_S = 9.2
TICK_S = EVENT_S
MOST_TICKS = 2000
SEEDS = range(12)


class Generation(msgspec.Struct, eq=False):
    """Holds an attempt at an engine."""

    attempt: AttemptId
    item: str
    tokens: int


class SlowPlay:
    """Plays steps on engines of which some send an event at each fourth tick only."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.names = [f"u{number}" for number in range(ENGINES)]
        self.driver = Driver(document(self.names, capacity=SLOTS))
        self.driver.report_versions(1, *self.names)
        self.slow = set(self.random.sample(self.names, SLOW_ENGINES))
        self.lengths: dict[str, int] = {}
        self.left = [ITEMS] * STEPS
        self.times = [0.0] * STEPS
        self.running: dict[str, list[Generation]] = {name: [] for name in self.names}

    def run(self) -> list[float]:
        """Returns how long each step took."""
        waiting = list(range(STEPS))
        for tick in range(MOST_TICKS):
            self.driver.now = now = tick * TICK_S
            self.take(self.driver.send(m.Tick()))
            if waiting and now >= waiting[0] * STEP_EVERY_S:
                self.submit(waiting.pop(0))
            if not any(self.left):
                return self.times
            for name in self.names:
                harmed = name in self.slow and SLOW_FROM_S <= now < SLOW_UNTIL_S
                if not harmed or tick % SLOW_FACTOR == 0:
                    self.step(name)
        raise AssertionError(f"{self.left} items of the steps did not end")

    def submit(self, step: int) -> None:
        lengths = [self.length() for _ in range(ITEMS)]
        hints = [
            round(length * self.random.lognormvariate(0.0, HINT_SPREAD))
            for length in lengths
        ]
        by_length = sorted(range(ITEMS), key=lambda place: -hints[place])
        for rank, place in enumerate(by_length):
            name = f"{step}/{place}"
            self.lengths[name] = lengths[place]
            item = sample(
                name,
                step=StepNumber(step),
                max_tokens=LONGEST_EVENTS,
                length_hint=max(1, hints[place]),
                rank=rank,
            )
            self.take(self.driver.send(m.Submit(item)))

    def length(self) -> int:
        spread = self.random.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        tail = TAIL_FACTOR if self.random.random() < TAIL else 1.0
        return max(1, min(LONGEST_EVENTS, round(MEAN_EVENTS * spread * tail)))

    def take(self, actions: list[m.Action]) -> None:
        for start in starts(actions):
            generation = Generation(
                start.attempt_id, str(start.work_id), start.resume_from
            )
            self.running[str(start.upstream)].append(generation)
        cancelled = {a.attempt_id for a in actions if isinstance(a, m.CancelAttempt)}
        for running in self.running.values():
            running[:] = [g for g in running if g.attempt not in cancelled]

    def step(self, name: str) -> None:
        for generation in list(self.running[name]):
            if generation not in self.running[name]:
                continue
            generation.tokens += 1
            self.take(self.driver.progress(generation.attempt, generation.tokens))
            if generation.tokens >= self.lengths[generation.item]:
                self.running[name].remove(generation)
                self.take(self.driver.finish(generation.attempt, generation.tokens))
                step = int(generation.item.partition("/")[0])
                self.left[step] -= 1
                self.times[step] = self.driver.now - step * STEP_EVERY_S


class SlowEnginesTest(TestCase):
    """Guards against steps that wait for items on engines which have turned slow."""

    def test_items_leave_engines_that_turn_slow(self) -> None:
        late = {}
        for seed in SEEDS:
            times = SlowPlay(seed).run()
            worst = [round(t, 1) for t in times if t > DUE_S]
            if worst:
                late[seed] = worst
        self.assertEqual(late, {})
