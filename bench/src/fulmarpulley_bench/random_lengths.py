"""Draw sample and answer lengths from seeded random streams."""

import math
from random import Random

import msgspec


class RandomStream:
    """Generate random numbers from a stream seeded by its keys."""

    def __init__(self, *keys: str | int) -> None:
        self.random = Random("/".join(str(key) for key in keys))

    def uniform(self) -> float:
        """Draw a number between 0 and 1."""
        return self.random.random()

    def interarrival_s(self, rate: float) -> float:
        """Draw the seconds to the next event of a Poisson process."""
        return self.random.expovariate(rate)

    def lognormal(self, median: float, sigma: float) -> float:
        """Draw a number from a lognormal distribution."""
        return self.random.lognormvariate(math.log(median), sigma)


class SampleLengthDistribution(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the distribution of sample lengths in tokens.

    The prompts of a step differ in difficulty, so that lengths within a group are
    correlated. Some samples of hard prompts are stragglers: 3% of all samples.
    """

    median: float = 450.0
    group_sigma: float = 0.4
    sample_sigma: float = 0.4
    hard_share: float = 0.15
    straggler_share: float = 0.2
    straggler_min_factor: float = 3.0
    # A Pareto tail with this exponent has a finite mean and no finite variance.
    straggler_exponent: float = 1.5
    max_tokens: int = 5000

    def draw(self, seed: int, slot: str, group: str) -> int:
        """Return the length of one sample of a group."""
        group_rng = RandomStream("group", seed, group)
        length = group_rng.lognormal(self.median, self.group_sigma)
        hard = group_rng.uniform() < self.hard_share
        rng = RandomStream("sample", seed, slot)
        length *= rng.lognormal(1.0, self.sample_sigma)
        if hard and rng.uniform() < self.straggler_share:
            tail = (1.0 - rng.uniform()) ** (-1.0 / self.straggler_exponent)
            length *= self.straggler_min_factor * tail
        return max(8, min(self.max_tokens, int(length)))
