from unittest import TestCase

from fulmarpulley_schema.generated.document import Limits

from .engine_simulation import EngineSimulation, SimulatedLoad
from .pool_fixtures import document

# The engines of a deployment that serve one model, and the steps of its trainer.
ENGINES = 2
SLOTS = 12
MEMORY_TOKENS = 46_298
TOKEN_S = 0.00053
TOKENS_PER_EVENT = 74
LOAD = SimulatedLoad(
    steps=4,
    items=44,
    step_every_s=4.0,
    mean_events=25.2,
    longest_events=181,
    tick_s=TOKENS_PER_EVENT * TOKEN_S,
    tokens_per_event=TOKENS_PER_EVENT,
    prompt_tokens=271,
)
# Steps should end within 7.5 s of their submission; the longest item takes 7.1 s.
DUE_S = 8.2
SEEDS = range(12)


class MemorySimulation(EngineSimulation):
    """Simulate engines that pause their newest generations when memory runs out."""

    def __init__(self, seed: int) -> None:
        names = [f"u{number}" for number in range(ENGINES)]
        limits = Limits(tokens_in_flight=MEMORY_TOKENS)
        super().__init__(document(names, capacity=SLOTS, limits=limits), LOAD, seed)

    def step(self, name: str, tick: int) -> None:
        """Generate an event of each generation that fits into the memory."""
        free = MEMORY_TOKENS
        for run in list(self.engines[name]):
            free -= LOAD.prompt_tokens + run.tokens + TOKENS_PER_EVENT
            if free < 0:
                continue
            run.tokens += TOKENS_PER_EVENT
            if run.tokens >= run.length:
                self.finish(name, run)


class EngineMemoryTest(TestCase):
    """Guards against short items that wait for memory reserved for long ones."""

    def test_steps_end_in_time_when_engine_memory_is_limited(self) -> None:
        times = [time for seed in SEEDS for time in MemorySimulation(seed).run()]
        late = [time for time in times if time > DUE_S]
        self.assertLessEqual(len(late), 0.1 * len(times), late)
