"""Dispatch the work of one pool shard to its upstreams."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran

from .messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    CacheReport,
    DocumentChanged,
    Event,
    LoadReport,
    OrderFinished,
    PoolSettings,
    PoolView,
    Submit,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
    Withdraw,
    Work,
)
from .outcomes import Outcomes
from .parts import Parts
from .reports import Reports
from .state import HealthState, Item, Upstream

# An item that is too large for the room that smaller ones leave at each upstream
# gets one upstream to itself after this time.
RESERVE_AFTER_S = 5.0


class Reservation(NamedTuple):
    """Keep other items off an upstream until a large one fits."""

    item: Item
    upstream: Upstream


class Pool:
    """Decide where and when the work of a pool shard runs."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.settings = settings
        self.reservation: Reservation | None = None
        self.parts = Parts(document, settings, seed)
        self.outcomes = Outcomes(self.parts)
        self.parts.hedges.start_hedge = self._start_hedge
        reports = Reports(self.parts)
        self.handlers: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Withdraw: self._withdraw,
            AttemptFinished: self.outcomes.finished,
            AttemptFailed: self.outcomes.failed,
            AttemptProgress: self.outcomes.progress,
            UpstreamState: reports.upstream_state,
            LoadReport: reports.load_report,
            CacheReport: reports.cache_report,
            OrderFinished: reports.order_finished,
            VersionReport: reports.version_report,
            VersionAnnounced: reports.version_announced,
            DocumentChanged: reports.document_changed,
        }

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        return self.handle_all((event,), now)

    def handle_all(self, events: Sequence[Event], now: float) -> list[Action]:
        """Apply events that belong together before anything is decided on them."""
        parts = self.parts
        parts.now = now
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        parts.timers.run_due(now)
        if parts.can_dispatch:
            self._dispatch()
        actions, parts.ledger.actions = parts.ledger.actions, []
        return actions

    def next_wakeup(self) -> float | None:
        """Return when the pool needs a Tick at the latest."""
        return self.parts.timers.next_due()

    def view(self) -> PoolView:
        """Return the state of the pool for status pages."""
        return self.parts.ledger.view(self.parts.queue.waiting)

    def usable(self) -> list[Upstream]:
        """Return the upstreams that take new attempts, busy ones included."""
        return [u for u in self.parts.ledger.upstreams.values() if u.slots]

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""
        return self.parts.freshness.versions_behind(item, upstream)

    def _submit(self, event: Submit, now: float) -> None:
        ledger, work = self.parts.ledger, event.work
        repeated = ledger.repeated_end(work)
        if repeated is not None:
            ledger.actions.append(repeated)
        elif work.work_id not in ledger.items:
            self._admit(work, now)

    def _admit(self, work: Work, now: float) -> None:
        parts, ledger = self.parts, self.parts.ledger
        item = ledger.add(work, now)
        if item.past_runs is not Ran.NOT_RUN and not work.repeatable:
            ledger.refuse(item, "upstream_broken")
            return
        upstreams = ledger.upstreams.values()
        charge = parts.charge(item)
        refusal = parts.admission.check(item, charge, parts.queue, upstreams, now)
        if refusal is not None:
            ledger.refuse(item, refusal.code, refusal.retry_after)
            return
        parts.weights.placement.note_demand(work.model, charge, now)
        if item.deadline is not None:
            parts.timers.at(item.deadline, lambda _: self._pass_deadline(item))
        parts.enqueue(item)

    def _pass_deadline(self, item: Item) -> None:
        if self.parts.ledger.is_held(item):
            self.parts.refuse(item, "deadline_passed")

    def _withdraw(self, event: Withdraw, now: float) -> None:
        item = self.parts.ledger.items.get(event.work_id)
        if item is not None:
            self.parts.refuse(item, "cancelled")

    def _dispatch(self) -> None:
        self.parts.can_dispatch = False
        self.parts.weights.plan(self.parts.now)
        while self.parts.queue.waiting and self._start_next():
            pass
        self.parts.gained.clear()

    def _start_next(self) -> bool:
        parts = self.parts
        free = [u for u in parts.ledger.upstreams.values() if u.is_free()]
        if not free:
            return False
        reservation = self._current_reservation()
        gained = [u for u in free if u in parts.gained]
        # A lane that no upstream could take is blocked until an upstream gains
        # room or the epoch, in which versions, health and steps stand, is over.
        epoch = parts.epoch + parts.ledger.steps_ended
        for lane in parts.queue.lanes():
            item = lane.head()
            candidates = gained if lane.is_blocked(epoch) else free
            if reservation is not None and item is not reservation.item:
                candidates = [u for u in candidates if u is not reservation.upstream]
            upstream = self._choose(item, candidates) if candidates else None
            if upstream is not None:
                self.outcomes.started(parts.start(parts.queue.take(lane), upstream))
                return True
            lane.block(epoch)
            reservation = reservation or self._reserve(item)
        return False

    def _current_reservation(self) -> Reservation | None:
        held = self.reservation
        if held is not None and held.item.queued and held.upstream.slots:
            return held
        if held is not None:
            # Other work may use the upstream again.
            self.reservation = None
            self.parts.wake()
        return None

    def _reserve(self, item: Item) -> Reservation | None:
        parts = self.parts
        if parts.now - item.submitted < RESERVE_AFTER_S:
            return None
        oldest = parts.freshness.oldest_allowed(item, parts.now)
        able = [u for u in self.usable() if parts.freshness.may_run(item, u, oldest)]
        if not able:
            return None
        upstream = min(able, key=lambda u: u.tokens_in_flight)
        self.reservation = Reservation(item, upstream)
        return self.reservation

    def _start_hedge(self, item: Item, excluded: set[Upstream]) -> bool:
        upstreams = self.parts.ledger.upstreams.values()
        now = self.parts.now
        free = [u for u in upstreams if u.is_free() and u.keeps_pace(now)]
        upstream = self._choose(item, [u for u in free if u not in excluded])
        if upstream is None:
            return False
        self.outcomes.started(self.parts.start(item, upstream, hedge=True))
        return True

    def _choose(self, item: Item, free: list[Upstream]) -> Upstream | None:
        parts = self.parts
        limit = parts.document.limits.tokens_in_flight
        cost = item.cost()
        oldest = parts.freshness.oldest_allowed(item, parts.now)
        may_run = parts.freshness.may_run
        fit = [u for u in free if u.has_room(cost, limit) and may_run(item, u, oldest)]
        if self.settings.refuse_while_loading:
            fit = [u for u in fit if not u.is_loading(item.work.model)]
        if not item.work.repeatable and fit:
            # A probe is likely to fail, which ends work that must not repeat.
            able = [u for u in self.usable() if may_run(item, u, oldest)]
            if not all(u.health.state is HealthState.PROBING for u in able):
                fit = [u for u in fit if u.health.state is not HealthState.PROBING]
        fit = [u for u in fit if u.keeps_pace(parts.now)] or fit
        return parts.routing.choose(item, fit, self, parts.now) if fit else None
