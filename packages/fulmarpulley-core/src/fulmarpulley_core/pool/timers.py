"""Keep the pending timers of a pool in order of time."""

import heapq
from collections.abc import Callable

TimerCallback = Callable[[float], None]


class Timers:
    """Hold callbacks by due time; a callback that is out of date does nothing."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerCallback]] = []
        self._sequence = 0

    def at(self, when: float, callback: TimerCallback) -> None:
        """Call back at the first event whose time is not before `when`."""
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, callback))

    def run_due(self, now: float) -> None:
        """Call back everything that is due, callbacks added meanwhile included."""
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2](now)

    def next_due(self) -> float | None:
        """Return the time of the next timer."""
        return self._heap[0][0] if self._heap else None
