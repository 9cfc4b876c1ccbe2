"""Retry failed work items under a budget and with back-off."""

from collections import deque
from collections.abc import Callable

from fulmarpulley_schema.generated.document import ServiceDocument

from ..seeded_random import SeededRandom
from .ledger import Ledger
from .state import Item
from .timers import Timers

# Items that are at no upstream for 5 s count as lost; with the spread, the longest
# back-off has to leave time for the start.
MAX_BACKOFF_S = 2.0
BACKOFF_SPREAD = (0.5, 1.5)
# Retries that a service may make in a burst: at least this many, and those of two full
# upstreams, so that the work of a crashed upstream is retried without a wait.
MIN_BURST = 10.0
BURST_UPSTREAMS = 2
# Retries per second that are allowed without finished work, so that retries never stop.
MIN_RETRIES_PER_S = 1.0


class Budget:
    """Allow extra attempts in proportion to finished work."""

    def __init__(self, ratio: float, burst: float, min_rate: float) -> None:
        self.ratio = ratio
        self.burst = burst
        self._min_rate = min_rate
        self._tokens = burst
        self._updated_at: float | None = None

    def deposit(self) -> None:
        """Add the share of a finished work item to the budget."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Take one extra attempt if the budget allows it."""
        if self.wait_s(now) > 0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Refill the budget and return the seconds until it allows one more attempt."""
        passed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self._tokens = min(self.burst, self._tokens + passed * self._min_rate)
        missing = 1.0 - self._tokens
        # Less than a millionth is a rounding error of earlier deposits.
        if missing <= 1e-6:
            return 0.0
        return missing / self._min_rate if self._min_rate else float("inf")


class RetryQueue:
    """Hold failed items until their back-off is over and a retry is allowed.

    The budget limits the retries at upstreams that may be down or overloaded. Engines
    that answer have shown that they are not, so their free slots are used without it.
    The slots of plain upstreams may be in use by other nodes.
    """

    def __init__(
        self,
        document: ServiceDocument,
        timers: Timers,
        ledger: Ledger,
        jitter: SeededRandom,
        enqueue: Callable[[Item], None],
        request_dispatch: Callable[[], None],
    ) -> None:
        self.document = document
        ratio = document.retries.budget_ratio
        self.budget = Budget(ratio, _burst(document), MIN_RETRIES_PER_S)
        self._timers = timers
        self._ledger = ledger
        self._jitter = jitter
        self._enqueue = enqueue
        self._request_dispatch = request_dispatch
        self._waiting: deque[Item] = deque()
        self._refill_awaited = False

    def change_document(self, document: ServiceDocument) -> None:
        """Apply the budget and back-off of a document."""
        self.document = document
        self.budget.ratio = document.retries.budget_ratio
        self.budget.burst = _burst(document)

    @property
    def held(self) -> int:
        """Return the number of items whose back-off is over."""
        return len(self._waiting)

    def schedule(self, item: Item, now: float) -> None:
        """Requeue an item after its back-off, once the budget allows it."""
        item.tries += 1
        delay = self._backoff(item.tries)
        self._timers.at(now + delay, lambda _: self._hold(item))

    def release(self, now: float) -> None:
        """Requeue the items that answering upstreams or the budget have room for."""
        if not self._waiting:
            return
        room = self._room()
        while self._waiting:
            item = self._waiting[0]
            if self._ledger.is_open(item):
                if room > 0:
                    room -= 1
                elif not self.budget.take(now):
                    self._await_refill(now)
                    return
                self._enqueue(item)
            self._waiting.popleft()

    def _room(self) -> int:
        """Return the number of free slots of the engines that answer."""
        return sum(
            upstream.slots - len(upstream.attempts)
            for upstream in self._ledger.upstreams.values()
            if upstream.is_engine() and upstream.health.answering and upstream.is_free()
        )

    def _hold(self, item: Item) -> None:
        self._waiting.append(item)
        self._request_dispatch()

    def _await_refill(self, now: float) -> None:
        if not self._refill_awaited:
            self._refill_awaited = True
            self._timers.at(now + self.budget.wait_s(now), self._refilled)

    def _refilled(self, _now: float) -> None:
        self._refill_awaited = False
        self._request_dispatch()

    def _backoff(self, tries: int) -> float:
        base = self.document.retries.backoff_ms / 1000
        # The exponent is bounded so that many tries do not overflow.
        delay = min(MAX_BACKOFF_S, base * 2.0 ** min(tries - 1, 16))
        return delay * self._jitter.uniform(*BACKOFF_SPREAD)


def _burst(document: ServiceDocument) -> float:
    largest = max((entry.capacity for entry in document.upstreams), default=0)
    return max(MIN_BURST, float(BURST_UPSTREAMS * largest))
