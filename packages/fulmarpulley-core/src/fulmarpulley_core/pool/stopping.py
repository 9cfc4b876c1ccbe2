"""Decide which desk requests can still be answered before the node stops."""

from collections import deque
from collections.abc import Iterator

from .admission import Admission
from .ledger import Ledger
from .state import Attempt, Item

# Finished attempts whose durations are kept.
MAX_DURATIONS = 64
# Margin over the longest recent attempt, for a busy upstream and the way back.
DURATION_FACTOR = 1.25
DURATION_MARGIN_S = 0.05
# Share of a request's remaining time that its attempt is expected to take as long as
# none has finished.
UNKNOWN_DURATION_SHARE = 0.4


class StopPlanner:
    """Find the requests that would be cut off by the end of the node.

    An attempt that started too late would run for nothing, and its caller could not be
    told that the request has not run.
    """

    def __init__(self, ledger: Ledger, admission: Admission) -> None:
        self.ledger = ledger
        self.admission = admission
        self.stop_at: float | None = None
        self._durations: deque[float] = deque(maxlen=MAX_DURATIONS)

    def record_finished(self, attempt: Attempt, now: float) -> None:
        """Record how long an attempt took."""
        self._durations.append(now - attempt.started_at)

    def latest_start(self, item: Item) -> float:
        """Return the time after which an attempt of an item would end too late."""
        if self.stop_at is None or item.is_sample:
            return float("inf")
        return self.stop_at - self._expected_s(item)

    def is_unservable(self, item: Item, tokens_ahead: float, now: float) -> bool:
        """Tell whether a request cannot be answered before the stop.

        :param tokens_ahead: tokens of the requests that wait before this one
        """
        if self.stop_at is None:
            return False
        slots = sum(upstream.slots for upstream in self.ledger.upstreams.values())
        wait_s = self.admission.duration_s(tokens_ahead, slots)
        return now + wait_s >= self.latest_start(item)

    def find_unservable(self, now: float) -> Iterator[Item]:
        """Yield the waiting requests that cannot be answered before the stop."""
        if self.stop_at is None:
            return
        tokens_ahead = 0
        for item in list(self.ledger.items.values()):
            if item.is_sample or item.attempts:
                continue
            if self.is_unservable(item, tokens_ahead if item.queued else 0, now):
                yield item
            else:
                tokens_ahead += item.charge

    def _expected_s(self, item: Item) -> float:
        if self._durations:
            return max(self._durations) * DURATION_FACTOR + DURATION_MARGIN_S
        deadline = item.work.deadline
        if deadline is None:
            return 0.0
        return (deadline - item.submitted_at) * UNKNOWN_DURATION_SHARE
