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
from .outcomes import AttemptTracker
from .parts import Parts
from .reports import ReportHandler
from .state import HealthState, Item, Upstream

# Smaller items could keep every upstream too full for a large one, so after this wait
# a large item gets an upstream reserved for it.
RESERVE_AFTER_S = 5.0


class Reservation(NamedTuple):
    """Reserve an upstream until a large item fits on it."""

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
        self.attempt_tracker = AttemptTracker(self.parts)
        self.parts.hedges.start_hedge = self._start_hedge
        reports = ReportHandler(self.parts)
        self.handlers: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Withdraw: self._withdraw,
            AttemptFinished: self.attempt_tracker.on_finished,
            AttemptFailed: self.attempt_tracker.on_failed,
            AttemptProgress: self.attempt_tracker.on_progress,
            UpstreamState: reports.on_upstream_state,
            LoadReport: reports.on_load_report,
            CacheReport: reports.on_cache_report,
            OrderFinished: reports.on_order_finished,
            VersionReport: reports.on_version_report,
            VersionAnnounced: reports.on_version_announced,
            DocumentChanged: reports.on_document_changed,
        }

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        return self.handle_all((event,), now)

    def handle_all(self, events: Sequence[Event], now: float) -> list[Action]:
        """Apply a batch of events before dispatching once, and return the actions."""
        parts = self.parts
        parts.now = now
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event, now)
        parts.timers.run_due(now)
        if parts.dispatch_needed:
            self._dispatch()
        actions, parts.ledger.actions = parts.ledger.actions, []
        return actions

    def next_wakeup(self) -> float | None:
        """Return the time by which the pool needs a Tick, or None."""
        return self.parts.timers.next_due()

    def view(self) -> PoolView:
        """Return the state of the pool for status pages."""
        return self.parts.ledger.view(self.parts.queue.waiting)

    def usable(self) -> list[Upstream]:
        """Return the upstreams that accept new attempts, including full ones."""
        return [u for u in self.parts.ledger.upstreams.values() if u.slots]

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""
        return self.parts.freshness.versions_behind(item, upstream)

    def _submit(self, event: Submit, now: float) -> None:
        ledger, work = self.parts.ledger, event.work
        recorded = ledger.recorded_end(work)
        if recorded is not None:
            ledger.actions.append(recorded)
        elif work.work_id not in ledger.items:
            self._admit(work, now)

    def _admit(self, work: Work, now: float) -> None:
        parts, ledger = self.parts, self.parts.ledger
        item = ledger.add(work, now)
        if item.ran_before is not Ran.NOT_RUN and not work.repeatable:
            ledger.refuse(item, "upstream_broken")
            return
        upstreams = ledger.upstreams.values()
        charge = parts.expected_tokens(item)
        refusal = parts.admission.check(item, charge, parts.queue, upstreams, now)
        if refusal is not None:
            ledger.refuse(item, refusal.code, refusal.retry_after)
            return
        parts.weights.placement.record_demand(work.model, charge, now)
        if item.deadline is not None:
            parts.timers.at(item.deadline, lambda _: self._refuse_past_deadline(item))
        parts.enqueue(item)

    def _refuse_past_deadline(self, item: Item) -> None:
        if self.parts.ledger.is_open(item):
            self.parts.refuse(item, "deadline_passed")

    def _withdraw(self, event: Withdraw, now: float) -> None:
        item = self.parts.ledger.items.get(event.work_id)
        if item is not None:
            self.parts.refuse(item, "cancelled")

    def _dispatch(self) -> None:
        self.parts.dispatch_needed = False
        self.parts.weights.plan(self.parts.now)
        while self.parts.queue.waiting and self._start_next():
            pass
        self.parts.freed_upstreams.clear()

    def _start_next(self) -> bool:
        parts = self.parts
        free = [u for u in parts.ledger.upstreams.values() if u.is_free()]
        if not free:
            return False
        reservation = self._current_reservation()
        freed_upstreams = [u for u in free if u in parts.freed_upstreams]
        # A lane whose first item no upstream could take stays blocked for the epoch,
        # which ends when versions, health or steps change. Until then only upstreams
        # with newly freed capacity are tried.
        epoch = parts.epoch + parts.ledger.steps_ended
        for lane in parts.queue.lanes():
            item = lane.head()
            candidates = freed_upstreams if lane.is_blocked(epoch) else free
            if reservation is not None and item is not reservation.item:
                candidates = [u for u in candidates if u is not reservation.upstream]
            upstream = self._choose(item, candidates) if candidates else None
            if upstream is not None:
                self.attempt_tracker.watch(
                    parts.start(parts.queue.take(lane), upstream)
                )
                return True
            lane.block(epoch)
            reservation = reservation or self._reserve(item)
        return False

    def _current_reservation(self) -> Reservation | None:
        current = self.reservation
        if current is not None and current.item.queued and current.upstream.slots:
            return current
        if current is not None:
            # Release the upstream to other items.
            self.reservation = None
            self.parts.request_dispatch()
        return None

    def _reserve(self, item: Item) -> Reservation | None:
        parts = self.parts
        if parts.now - item.submitted < RESERVE_AFTER_S:
            return None
        oldest = parts.freshness.oldest_allowed(item, parts.now)
        eligible = [
            u for u in self.usable() if parts.freshness.may_run(item, u, oldest)
        ]
        if not eligible:
            return None
        upstream = min(eligible, key=lambda u: u.tokens_in_flight)
        self.reservation = Reservation(item, upstream)
        return self.reservation

    def _start_hedge(self, item: Item, excluded: set[Upstream]) -> bool:
        upstreams = self.parts.ledger.upstreams.values()
        now = self.parts.now
        free = [u for u in upstreams if u.is_free() and u.keeps_pace(now)]
        upstream = self._choose(item, [u for u in free if u not in excluded])
        if upstream is None:
            return False
        self.attempt_tracker.watch(self.parts.start(item, upstream, hedge=True))
        return True

    def _choose(self, item: Item, free: list[Upstream]) -> Upstream | None:
        parts = self.parts
        limit = parts.document.limits.tokens_in_flight
        reserved_tokens = item.reserved_tokens()
        oldest = parts.freshness.oldest_allowed(item, parts.now)
        may_run = parts.freshness.may_run
        fitting = [
            u
            for u in free
            if u.has_room(reserved_tokens, limit) and may_run(item, u, oldest)
        ]
        if self.settings.refuse_while_loading:
            fitting = [u for u in fitting if not u.is_loading(item.work.model)]
        if not item.work.repeatable and fitting:
            # Probes often fail, and a failed attempt ends work that must not repeat.
            eligible = [u for u in self.usable() if may_run(item, u, oldest)]
            if not all(u.health.state is HealthState.PROBING for u in eligible):
                fitting = [
                    u for u in fitting if u.health.state is not HealthState.PROBING
                ]
        fitting = [u for u in fitting if u.keeps_pace(parts.now)] or fitting
        return parts.routing.choose(item, fitting, self, parts.now) if fitting else None
