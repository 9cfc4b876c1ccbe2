"""Generate seeded pseudo-random factors."""

import xxhash

_RANGE = 2**64


class Jitter:
    """Generate a sequence of numbers that depends on the seed only."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._counter = 0

    def between(self, low: float, high: float) -> float:
        """Return the next number from a range."""
        self._counter += 1
        digest = xxhash.xxh64_intdigest(self._counter.to_bytes(8, "little"), self._seed)
        return low + (high - low) * digest / _RANGE
