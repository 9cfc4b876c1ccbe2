"""Provide a seeded random source based on a hash, so that core is deterministic."""

from typing import TypeVar

import xxhash

T = TypeVar("T")
_RANGE = 1 << 64


class SeededRandom:
    """Generate pseudo-random numbers; the same seed gives the same sequence."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._count = 0

    def randrange(self, bound: int) -> int:
        """Return an integer from 0 to bound - 1."""
        return self._next() % bound

    def uniform(self, low: float, high: float) -> float:
        """Return a float from low to high."""
        return low + (high - low) * self._next() / _RANGE

    def shuffle(self, items: list[T]) -> None:
        """Shuffle a list in place."""
        for index in range(len(items) - 1, 0, -1):
            other = self.randrange(index + 1)
            items[index], items[other] = items[other], items[index]

    def choose_up_to(self, items: list[T], count: int) -> list[T]:
        """Return up to `count` distinct items in random order."""
        pool = list(items)
        chosen: list[T] = []
        while pool and len(chosen) < count:
            index = self.randrange(len(pool))
            pool[index], pool[-1] = pool[-1], pool[index]
            chosen.append(pool.pop())
        return chosen

    def _next(self) -> int:
        self._count += 1
        data = self._count.to_bytes(8, "little")
        return xxhash.xxh64_intdigest(data, self.seed % _RANGE)
