"""Dispatch the work of one pool shard to its upstreams."""

from collections.abc import Callable

from fulmarpulley_schema.generated.document import ServiceDocument

from .fleet import Fleet
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
)
from .outcomes import Outcomes
from .parts import Parts
from .state import HealthState, Item, Upstream


class Pool:
    """Decide where and when the work of a pool shard runs."""

    def __init__(
        self, document: ServiceDocument, settings: PoolSettings, seed: int
    ) -> None:
        self.settings = settings
        self.parts = Parts(document, settings, seed)
        self.outcomes = Outcomes(self.parts)
        self.parts.hedges.start_hedge = self._start_hedge
        fleet = Fleet(self.parts)
        self.handlers: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Withdraw: self._withdraw,
            AttemptFinished: self.outcomes.finished,
            AttemptFailed: self.outcomes.failed,
            AttemptProgress: self.outcomes.progress,
            UpstreamState: fleet.upstream_state,
            LoadReport: fleet.load_report,
            CacheReport: fleet.cache_report,
            OrderFinished: fleet.order_finished,
            VersionReport: fleet.version_report,
            VersionAnnounced: fleet.version_announced,
            DocumentChanged: fleet.document_changed,
        }

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply an event at a monotonic time in seconds and return the actions."""
        parts = self.parts
        parts.now = now
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
        parts, ledger, work = self.parts, self.parts.ledger, event.work
        if work.work_id in ledger.items:
            return
        repeated = ledger.repeated_end(work)
        if repeated is not None:
            ledger.actions.append(repeated)
            return
        item = ledger.add(work, now)
        upstreams = ledger.upstreams.values()
        charge = parts.charge(item)
        refusal = parts.admission.check(item, charge, parts.queue, upstreams, now)
        if refusal is not None:
            ledger.refuse(item, refusal.code, refusal.retry_after)
            return
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

    def _start_next(self) -> bool:
        free = [u for u in self.parts.ledger.upstreams.values() if u.is_free()]
        if not free:
            return False
        for lane in self.parts.queue.lanes():
            upstream = self._choose(lane.head(), free)
            if upstream is not None:
                item = self.parts.queue.take(lane)
                self.outcomes.started(self.parts.start(item, upstream))
                return True
        return False

    def _start_hedge(self, item: Item, excluded: set[Upstream]) -> bool:
        upstreams = self.parts.ledger.upstreams.values()
        free = [u for u in upstreams if u.is_free() and u not in excluded]
        upstream = self._choose(item, free)
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
        if not item.work.repeatable:
            fit = self._without_probes(fit)
        return parts.routing.choose(item, fit, self, parts.now) if fit else None

    def _without_probes(self, fit: list[Upstream]) -> list[Upstream]:
        # A probe is likely to fail, which ends work that must not repeat.
        probing = HealthState.PROBING
        if all(u.health.state is probing for u in self.usable()):
            return fit
        return [u for u in fit if u.health.state is not probing]
