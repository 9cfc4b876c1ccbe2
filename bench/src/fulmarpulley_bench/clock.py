"""Run callbacks in virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

Callback = Callable[[], None]


class Clock:
    """Keep the virtual time in seconds and a queue of scheduled callbacks."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callback]] = []
        self._sequence = count()

    def at(self, time: float, callback: Callback) -> None:
        """Schedule a callback; callbacks with equal times run in scheduling order."""
        entry = (max(time, self.now), next(self._sequence), callback)
        heapq.heappush(self._due, entry)

    def after(self, delay: float, callback: Callback) -> None:
        """Schedule a callback after a delay in seconds."""
        self.at(self.now + delay, callback)

    def run(self, until: float, done: Callable[[], bool]) -> None:
        """Run until no callback is left, `until` is passed or `done` returns true."""
        while self._due and self._due[0][0] <= until and not done():
            self.now, _, callback = heapq.heappop(self._due)
            callback()
