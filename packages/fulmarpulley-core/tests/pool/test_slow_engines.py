"""Test that training steps end in time when some engines become slow."""

from unittest import TestCase

from fulmarpulley_core.pool import messages as m

from .engine_simulation import EngineSimulation, SimulatedLoad
from .pool_fixtures import document

# The engines of a deployment that serve one model, and the steps of its trainer.
ENGINES = 8
SLOTS = 8
LOAD = SimulatedLoad(
    steps=6,
    items=64,
    step_every_s=4.0,
    mean_events=25.0,
    longest_events=144,
    tick_s=0.05,
)
# Two engines are four times slower for 8 s.
SLOW_ENGINES = 2
SLOW_FACTOR = 4
SLOW_FROM_S, SLOW_UNTIL_S = 5.5, 13.5
# The longest item takes 7.2 s; items move off a slow engine within 2 s.
DUE_S = 9.2
SEEDS = range(12)


class SlowEngineSimulation(EngineSimulation):
    """Simulate engines of which some send an event only every fourth tick."""

    def __init__(self, seed: int) -> None:
        names = [f"u{number}" for number in range(ENGINES)]
        super().__init__(document(names, capacity=SLOTS), LOAD, seed)
        self.slow = set(self.random.sample(names, SLOW_ENGINES))

    def before_tick(self) -> list[m.Action]:
        """Run the due timers of the pool, which include the scan for slow attempts."""
        return self.driver.send(m.Tick())

    def step(self, name: str, tick: int) -> None:
        """Generate an event of each generation, unless a slow engine skips the tick."""
        slow_now = SLOW_FROM_S <= self.driver.now < SLOW_UNTIL_S
        if name in self.slow and slow_now and tick % SLOW_FACTOR:
            return
        for run in list(self.engines[name]):
            # An event of another attempt may have cancelled this one.
            if run not in self.engines[name]:
                continue
            run.tokens += 1
            self.apply(self.driver.progress(run.attempt, run.tokens))
            if run.tokens >= run.length:
                self.finish(name, run)


class SlowEnginesTest(TestCase):
    """Guards against steps that wait for items on engines that became slow."""

    def test_steps_end_in_time_when_engines_become_slow(self) -> None:
        late = {}
        for seed in SEEDS:
            times = SlowEngineSimulation(seed).run()
            worst = [round(t, 1) for t in times if t > DUE_S]
            if worst:
                late[seed] = worst
        self.assertEqual(late, {})
