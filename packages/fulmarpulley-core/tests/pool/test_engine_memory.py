import random
from unittest import TestCase

import msgspec

from fulmarpulley_core.ids import AttemptId, StepNumber
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import Limits

from .pool_fixtures import Driver, document, sample, starts

# Two engines of a deployment that serve one model, and the steps of its trainer: most
# answers take a second, one in twelve five times as long, and hints are often far off.
ENGINES = 2
SLOTS = 12
MEMORY_TOKENS = 46_298
TOKEN_S = 0.00053
ITEMS = 44
PROMPT_TOKENS = 271
EVENT_TOKENS = 74
MEAN_EVENTS, LONGEST_EVENTS = 25.2, 181
SPREAD, HINT_SPREAD = 0.84, 0.5
TAIL, TAIL_FACTOR = 0.08, 5.0
STEPS = 4
STEP_EVERY_S = 4.0
# A step is due 7.5 s after its submission, and its longest item takes 7.1 s.
DUE_S = 8.2
# Far more than the steps take, at an event each.
MOST_TICKS = 2000
SEEDS = range(12)


class Generation(msgspec.Struct, eq=False):
    """Holds an attempt at an engine."""

    attempt: AttemptId
    step: int
    length: int
    tokens: int = 0


class MemoryPlay:
    """Plays the generations of a step; memory that runs out stops the newest ones."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        names = [f"u{number}" for number in range(ENGINES)]
        limits = Limits(tokens_in_flight=MEMORY_TOKENS)
        self.driver = Driver(document(names, capacity=SLOTS, limits=limits))
        self.driver.report_versions(1, *names)
        self.lengths: dict[str, int] = {}
        self.left = [ITEMS] * STEPS
        self.times = [0.0] * STEPS
        self.engines: dict[str, list[Generation]] = {name: [] for name in names}

    def length(self) -> int:
        spread = self.random.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
        tail = TAIL_FACTOR if self.random.random() < TAIL else 1.0
        events = round(MEAN_EVENTS * spread * tail)
        return max(1, min(LONGEST_EVENTS, events)) * EVENT_TOKENS

    def run(self) -> list[float]:
        """Returns how long each step took."""
        waiting = list(range(STEPS))
        for tick in range(MOST_TICKS):
            now = tick * EVENT_TOKENS * TOKEN_S
            self.driver.now = now
            if waiting and now >= waiting[0] * STEP_EVERY_S:
                self.submit(waiting.pop(0))
            if not any(self.left):
                return self.times
            for name in self.engines:
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
            work = sample(
                name,
                step=StepNumber(step),
                prompt_tokens=PROMPT_TOKENS,
                max_tokens=LONGEST_EVENTS * EVENT_TOKENS,
                length_hint=hints[place],
                rank=rank,
            )
            self.start(self.driver.send(m.Submit(work)))

    def start(self, actions: list[m.Action]) -> None:
        for action in actions:
            if isinstance(action, m.CancelAttempt):
                self.cancel(action.attempt_id)
        for action in starts(actions):
            step = int(action.work_id.partition("/")[0])
            length = self.lengths[action.work_id]
            run = Generation(action.attempt_id, step, length)
            self.engines[action.upstream].append(run)

    def cancel(self, attempt: AttemptId) -> None:
        for name, runs in self.engines.items():
            self.engines[name] = [run for run in runs if run.attempt != attempt]

    def step(self, name: str) -> None:
        """Makes an event of each generation for which there is memory."""
        free = MEMORY_TOKENS
        for run in list(self.engines[name]):
            free -= PROMPT_TOKENS + run.tokens + EVENT_TOKENS
            if free < 0:
                continue
            run.tokens += EVENT_TOKENS
            if run.tokens >= run.length:
                self.engines[name].remove(run)
                self.left[run.step] -= 1
                self.times[run.step] = self.driver.now - run.step * STEP_EVERY_S
                self.start(self.driver.finish(run.attempt, run.tokens))


class EngineMemoryTest(TestCase):
    """Guards against short items that wait for the memory which long ones may need."""

    def test_steps_of_a_busy_trainer_end_when_they_are_due(self) -> None:
        times = [time for seed in SEEDS for time in MemoryPlay(seed).run()]
        late = [time for time in times if time > DUE_S]
        self.assertLessEqual(len(late), 0.1 * len(times), late)
