"""Dispatch work with a simple policy, the baseline of the benchmark.

Round robin over the upstreams below capacity, a FIFO queue, a fixed number of retries
after a fixed delay, no hedges, a restart from the first token after a failure, and
staleness checked only when a sample starts.
"""

from collections import deque
from itertools import count

import msgspec

from fulmarpulley_core.ids import AttemptId, ModelName, OrderId, UpstreamId, Version
from fulmarpulley_core.ids import WorkId as Id
from fulmarpulley_core.pool.messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    CancelAttempt,
    Event,
    Failure,
    Finish,
    Order,
    OrderFinished,
    Refuse,
    StartAttempt,
    Submit,
    Tick,
    VersionAnnounced,
    VersionReport,
    Withdraw,
    Work,
    WorkKind,
)
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran

RETRY_DELAY_S = 0.5
ORDER_RETRY_DELAY_S = 5.0
# Time without new attempts after a refused or broken connection.
EXCLUSION_S = 5.0


class Upstream(msgspec.Struct):
    """Hold the state of one upstream."""

    capacity: int
    attempts: set[AttemptId] = set()
    versions: dict[ModelName, Version] = {}
    down_until: float = 0.0
    order: OrderId | None = None
    next_order_at: float = 0.0


class Item(msgspec.Struct):
    """Hold an accepted work item."""

    work: Work
    failures: int = 0
    attempt: AttemptId | None = None


class NaivePool:
    """Dispatch the work of a service."""

    def __init__(self, document: ServiceDocument) -> None:
        self.document = document
        self.upstreams = {
            UpstreamId(entry.id): Upstream(entry.capacity)
            for entry in document.upstreams
        }
        self.ring = deque(self.upstreams)
        self.items: dict[Id, Item] = {}
        self.queue: deque[Id] = deque()
        self.retries: deque[tuple[float, Id]] = deque()
        self.running: dict[AttemptId, tuple[Id, UpstreamId]] = {}
        self.newest: dict[ModelName, Version] = {}
        self.id_numbers = count(1)

    def next_wakeup(self) -> float | None:
        """Return None: the periodic ticks suffice."""
        return None

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions."""
        actions: list[Action] = []
        match event:
            case Submit():
                self._submit(event.work, actions)
            case Withdraw():
                self._withdraw(event.work_id, actions)
            case AttemptFinished():
                self._finished(event, actions)
            case AttemptFailed():
                self._failed(event, now, actions)
            case VersionReport():
                self._update_version(event)
            case VersionAnnounced():
                self.newest[event.model] = event.version
            case OrderFinished():
                self._order_finished(event, now)
            case Tick():
                self._expire_items(now, actions)
            case _:
                return []
        self._issue_orders(now, actions)
        self._start_queued(now, actions)
        return actions

    def _submit(self, work: Work, actions: list[Action]) -> None:
        if work.work_id in self.items:
            return
        desk = work.kind is WorkKind.DESK
        if desk and len(self.queue) >= self.document.limits.queue:
            actions.append(Refuse(work.work_id, "overloaded", Ran.NOT_RUN, 1.0))
            return
        self.items[work.work_id] = Item(work)
        self.queue.append(work.work_id)

    def _withdraw(self, work_id: Id, actions: list[Action]) -> None:
        item = self.items.pop(work_id, None)
        if item is not None and item.attempt is not None:
            self._release(item.attempt)
            actions.append(CancelAttempt(item.attempt))

    def _finished(self, event: AttemptFinished, actions: list[Action]) -> None:
        work_id = self._release(event.attempt_id)
        if work_id is not None and self.items.pop(work_id, None) is not None:
            actions.append(Finish(work_id, event.attempt_id))

    def _failed(self, event: AttemptFailed, now: float, actions: list[Action]) -> None:
        running = self.running.get(event.attempt_id)
        work_id = self._release(event.attempt_id)
        if running is None or work_id not in self.items:
            return
        if event.failure in (Failure.NOT_SENT, Failure.BROKEN):
            self.upstreams[running[1]].down_until = now + EXCLUSION_S
        item = self.items[running[0]]
        item.attempt = None
        sent = event.failure in (Failure.BROKEN, Failure.ERRORED)
        item.failures += 1
        if (sent and not item.work.repeatable) or self._exhausted(item):
            ran = Ran.MAY_HAVE_RUN if sent else Ran.NOT_RUN
            del self.items[item.work.work_id]
            actions.append(Refuse(item.work.work_id, "upstream_broken", ran))
            return
        self.retries.append((now + RETRY_DELAY_S, item.work.work_id))

    def _exhausted(self, item: Item) -> bool:
        return item.failures >= self.document.retries.attempts

    def _release(self, attempt_id: AttemptId) -> Id | None:
        running = self.running.pop(attempt_id, None)
        if running is None:
            return None
        self.upstreams[running[1]].attempts.discard(attempt_id)
        return running[0]

    def _expire_items(self, now: float, actions: list[Action]) -> None:
        for item in list(self.items.values()):
            deadline = item.work.deadline
            if item.attempt is None and deadline is not None and deadline < now:
                del self.items[item.work.work_id]
                refusal = Refuse(item.work.work_id, "deadline_passed", Ran.NOT_RUN)
                actions.append(refusal)

    def _start_queued(self, now: float, actions: list[Action]) -> None:
        while self.retries and self.retries[0][0] <= now:
            self.queue.appendleft(self.retries.popleft()[1])
        blocked: list[Id] = []
        models: set[ModelName] = set()
        while self.queue and self._has_free_upstream(now):
            work_id = self.queue.popleft()
            item = self.items.get(work_id)
            if item is None or item.attempt is not None:
                continue
            upstream = self._next_upstream(item.work, models, now)
            if upstream is None:
                blocked.append(work_id)
            else:
                self._start_attempt(item, upstream, actions)
        self.queue.extendleft(reversed(blocked))

    def _start_attempt(
        self, item: Item, upstream: UpstreamId, actions: list[Action]
    ) -> None:
        attempt = AttemptId(f"a{next(self.id_numbers)}")
        item.attempt = attempt
        self.running[attempt] = (item.work.work_id, upstream)
        self.upstreams[upstream].attempts.add(attempt)
        actions.append(StartAttempt(attempt, item.work.work_id, upstream))

    def _has_free_upstream(self, now: float) -> bool:
        return any(self._is_free(state, now) for state in self.upstreams.values())

    def _is_free(self, upstream: Upstream, now: float) -> bool:
        return len(upstream.attempts) < upstream.capacity and upstream.down_until <= now

    def _next_upstream(
        self, work: Work, blocked: set[ModelName], now: float
    ) -> UpstreamId | None:
        if work.model in blocked:
            return None
        for _ in range(len(self.ring)):
            upstream = self.ring[0]
            self.ring.rotate(-1)
            state = self.upstreams[upstream]
            if self._is_free(state, now) and self._is_fresh(state, work):
                return upstream
        blocked.add(work.model)
        return None

    def _is_fresh(self, upstream: Upstream, work: Work) -> bool:
        if work.staleness_bound is None:
            return True
        newest = max(self.newest.get(work.model, 0), work.min_version)
        return upstream.versions.get(work.model, 0) >= newest - work.staleness_bound

    def _update_version(self, event: VersionReport) -> None:
        self.upstreams[event.upstream].versions[event.model] = event.version

    def _issue_orders(self, now: float, actions: list[Action]) -> None:
        active_orders = sum(
            state.order is not None for state in self.upstreams.values()
        )
        for name, state in self.upstreams.items():
            if active_orders >= self.document.weights.swaps_at_once:
                return
            if state.order is not None or state.next_order_at > now:
                continue
            for model, newest in self.newest.items():
                if state.versions.get(model, 0) < newest:
                    state.order = OrderId(f"o{next(self.id_numbers)}")
                    actions.append(Order(state.order, name, model, newest))
                    active_orders += 1
                    break

    def _order_finished(self, event: OrderFinished, now: float) -> None:
        for state in self.upstreams.values():
            if state.order == event.order_id:
                state.order = None
                state.next_order_at = 0.0 if event.ok else now + ORDER_RETRY_DELAY_S
