"""Simulate the steps of a trainer on the engines of its model."""

import random
from abc import ABC, abstractmethod

import msgspec

from fulmarpulley_core.ids import AttemptId, StepNumber
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import ServiceDocument

from .pool_fixtures import Driver, sample, starts

# Lengths as in known deployments: most answers take a second, one in twelve five times
# as long, and length hints are often far off.
LENGTH_SIGMA, HINT_SIGMA = 0.84, 0.5
TAIL_SHARE, TAIL_FACTOR = 0.08, 5.0
# Far more than the steps take; ends a run whose steps do not end.
MAX_TICKS = 2000


class SimulatedLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the steps of a trainer; an engine sends an event per stream and tick."""

    steps: int
    items: int
    step_every_s: float
    mean_events: float
    longest_events: int
    tick_s: float
    tokens_per_event: int = 1
    prompt_tokens: int = 0


class Generation(msgspec.Struct, eq=False):
    """Hold an attempt that an engine is running."""

    attempt: AttemptId
    step: int
    length: int
    tokens: int = 0


class EngineSimulation(ABC):
    """Simulate steps; subclasses define how fast the engines generate."""

    def __init__(
        self, document: ServiceDocument, load: SimulatedLoad, seed: int
    ) -> None:
        self.random = random.Random(seed)
        self.load = load
        self.driver = Driver(document)
        names = [entry.id for entry in document.upstreams]
        self.driver.report_versions(1, *names)
        self.lengths: dict[str, int] = {}
        self.left = [load.items] * load.steps
        self.times = [0.0] * load.steps
        self.engines: dict[str, list[Generation]] = {name: [] for name in names}

    @abstractmethod
    def step(self, name: str, tick: int) -> None:
        """Generate the events of one engine in a tick."""

    def before_tick(self) -> list[m.Action]:
        """Return the actions of the pool before the engines run a tick."""
        return []

    def run(self) -> list[float]:
        """Return the duration of each step in seconds."""
        waiting = list(range(self.load.steps))
        for tick in range(MAX_TICKS):
            self.driver.now = now = tick * self.load.tick_s
            self.apply(self.before_tick())
            if waiting and now >= waiting[0] * self.load.step_every_s:
                self.submit(waiting.pop(0))
            if not any(self.left):
                return self.times
            for name in self.engines:
                self.step(name, tick)
        raise AssertionError(f"{self.left} items of the steps did not end")

    def submit(self, step: int) -> None:
        """Submit the items of a step, those with the longest hints first."""
        lengths = [self.length() for _ in range(self.load.items)]
        hints = [
            round(length * self.random.lognormvariate(0.0, HINT_SIGMA))
            for length in lengths
        ]
        by_length = sorted(range(self.load.items), key=lambda place: -hints[place])
        for rank, place in enumerate(by_length):
            name = f"{step}/{place}"
            self.lengths[name] = lengths[place]
            work = sample(
                name,
                step=StepNumber(step),
                prompt_tokens=self.load.prompt_tokens,
                max_tokens=self.load.longest_events * self.load.tokens_per_event,
                length_hint=max(1, hints[place]),
                rank=rank,
            )
            self.apply(self.driver.send(m.Submit(work)))

    def length(self) -> int:
        """Return a random answer length in tokens."""
        spread = self.random.lognormvariate(
            -LENGTH_SIGMA * LENGTH_SIGMA / 2, LENGTH_SIGMA
        )
        tail = TAIL_FACTOR if self.random.random() < TAIL_SHARE else 1.0
        events = round(self.load.mean_events * spread * tail)
        return (
            max(1, min(self.load.longest_events, events)) * self.load.tokens_per_event
        )

    def apply(self, actions: list[m.Action]) -> None:
        """Start and cancel attempts at the engines."""
        for action in actions:
            if isinstance(action, m.CancelAttempt):
                self.cancel(action.attempt_id)
        for start in starts(actions):
            step = int(start.work_id.partition("/")[0])
            length = self.lengths[start.work_id]
            generation = Generation(start.attempt_id, step, length, start.resume_from)
            self.engines[start.upstream].append(generation)

    def cancel(self, attempt: AttemptId) -> None:
        """Remove an attempt from its engine."""
        for runs in self.engines.values():
            runs[:] = [run for run in runs if run.attempt != attempt]

    def finish(self, name: str, run: Generation) -> None:
        """Report a complete answer of an engine."""
        self.engines[name].remove(run)
        self.left[run.step] -= 1
        self.times[run.step] = self.driver.now - run.step * self.load.step_every_s
        self.apply(self.driver.finish(run.attempt, run.tokens))
