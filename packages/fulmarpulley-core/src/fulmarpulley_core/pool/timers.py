"""Keep the pending timers of a pool in order of due time."""

import heapq
from collections.abc import Callable

TimerCallback = Callable[[float], None]


class Timers:
    """Hold callbacks by due time; an outdated callback has to return without effect."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerCallback]] = []
        self._sequence = 0

    def at(self, when: float, callback: TimerCallback) -> None:
        """Run a callback at the first event whose time is not before `when`."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, callback))

    def run_due(self, now: float) -> None:
        """Run all due callbacks, including those that are added meanwhile."""
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2](now)

    def next_due(self) -> float | None:
        """Return the time of the next timer, or None."""
        return self._heap[0][0] if self._heap else None
