"""Order upstreams to load new weights until all serve the newest version."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument

from ..ids import ModelName, OrderId, Region, UpstreamId, Version
from ..seeded_random import SeededRandom
from .freshness import Freshness
from .ledger import Ledger
from .messages import Availability, Order, OrderFinished
from .model_placement import ModelPlacement
from .state import HealthState, Upstream
from .timers import Timers

RETRY_BASE_S = 0.5
RETRY_MAX_S = 30.0
RETRY_SPREAD = (0.75, 1.25)
# A swap times out after this time, plus ten times its usual pause, plus the transfer
# time at the rate below.
ORDER_TIMEOUT_S = 30.0
TIMEOUT_SWAP_FACTOR = 10.0
SLOWEST_TRANSFER_BYTES_PER_S = 5_000_000
# Reports are delayed: a loaded version must be reported within this time, and a
# reported downgrade must persist for the recheck time before a new order.
CONFIRM_TIMEOUT_S = 5.0
DOWNGRADE_RECHECK_S = 2.0

RegionModels = set[tuple[str, ModelName]]


class PendingOrder(msgspec.Struct, eq=False):
    """Hold an order that was issued and is not yet confirmed by a report."""

    order: Order
    region: Region
    awaiting_report: bool = False


class RetryState(msgspec.Struct, eq=False):
    """Hold the failures and the retry time of a model's swaps at an upstream."""

    failures: int = 0
    not_before: float = 0.0
    failed_source: UpstreamId | None = None


class WeightUpdater:
    """Bring every upstream to the newest version, a few at a time."""

    def __init__(
        self,
        document: ServiceDocument,
        ledger: Ledger,
        freshness: Freshness,
        timers: Timers,
        jitter: SeededRandom,
        request_dispatch: Callable[[], None],
        required_versions: Callable[[], Mapping[ModelName, Version]],
    ) -> None:
        self.document = document
        self._required_versions = required_versions
        self._ledger = ledger
        self._freshness = freshness
        self._timers = timers
        self._jitter = jitter
        self._request_dispatch = request_dispatch
        self._sequence = 0
        self._needs_plan = False
        self._pending: dict[OrderId, PendingOrder] = {}
        self._retry_states: dict[tuple[UpstreamId, ModelName], RetryState] = {}
        self.placement = ModelPlacement()
        self._placed: dict[ModelName, set[UpstreamId]] = {}
        self._placed_upstreams: list[UpstreamId] = []

    def record_version(
        self, upstream: Upstream, model: ModelName, version: Version, now: float
    ) -> None:
        """Record the version that an upstream reports to serve."""
        before = upstream.versions.get(model)
        if before == version:
            return
        upstream.versions[model] = version
        self.replan()
        key = (upstream.upstream_id, model)
        if before is not None and version < before:
            retry_state = self._retry_states.setdefault(key, RetryState())
            retry_state.not_before = max(
                retry_state.not_before, now + DOWNGRADE_RECHECK_S
            )
            self._timers.at(retry_state.not_before, self._replan_on_timer)
        for pending in self._pending_orders_of(upstream):
            if pending.order.model == model and version >= pending.order.version:
                del self._pending[pending.order.order_id]
                upstream.loading.discard(model)
                self._retry_states.pop(key, None)
                upstream.swap_until = min(upstream.swap_until, now)

    def end_order(self, event: OrderFinished, now: float) -> None:
        """Await the report of a loaded version, or retry a failed order later."""
        pending = self._pending.get(event.order_id)
        if pending is None or pending.awaiting_report:
            return
        upstream = self._ledger.upstreams.get(pending.order.upstream)
        if upstream is not None:
            upstream.swap_until = min(upstream.swap_until, now)
            upstream.loading.discard(pending.order.model)
        if event.retry_after is not None:
            self._defer(pending, now + event.retry_after)
            return
        if not event.ok:
            self._fail(pending, now)
            return
        pending.awaiting_report = True
        self._timers.at(
            now + CONFIRM_TIMEOUT_S, lambda later: self._fail(pending, later)
        )
        self.replan()

    def replan(self) -> None:
        """Request a check for new orders at the next dispatch."""
        self._needs_plan = True
        self._request_dispatch()

    def plan(self, now: float) -> None:
        """Issue the orders that are due, within the limit of swaps at once."""
        if self._ledger.settings.split_models:
            self._update_placement()
        if not self._needs_plan:
            return
        self._needs_plan = False
        loading = sum(not pending.awaiting_report for pending in self._pending.values())
        free_swaps = self.document.weights.swaps_at_once - loading
        if free_swaps <= 0 or not self._freshness.newest:
            return
        # Regions in which a model awaits its first copy, found in this pass.
        awaiting_copy: RegionModels = set()
        required = self._required_versions()
        while free_swaps > 0 and self._issue_next(required, awaiting_copy, now):
            free_swaps -= 1

    def _issue_next(
        self,
        required: Mapping[ModelName, Version],
        awaiting_copy: RegionModels,
        now: float,
    ) -> bool:
        """Issue the next order.

        Models whose waiting work no upstream can run come first, then those of which
        the fewest upstreams serve the newest version.
        """
        models = sorted(
            self._models(),
            key=lambda model: (
                model not in required or self._copy_count(model, required[model]) > 0,
                self._copy_count(model, self._freshness.newest[model]),
            ),
        )
        upstreams = self._engines_to_order()
        return any(
            self._issue_for_model(model, upstreams, awaiting_copy, now)
            for model in models
            if not self._has_enough_loading(model)
        )

    def _issue_for_model(
        self,
        model: ModelName,
        upstreams: Iterable[Upstream],
        awaiting_copy: RegionModels,
        now: float,
    ) -> bool:
        for upstream in _stalest_first(upstreams, model):
            region_model = (upstream.entry.region, model)
            if region_model in awaiting_copy or not self._is_due(upstream, model, now):
                continue
            if self._issue(upstream, model, now):
                return True
            awaiting_copy.add(region_model)
        return False

    def _has_enough_loading(self, model: ModelName) -> bool:
        """Tell whether half of a model's upstreams are loading it.

        The others run new work of the model meanwhile.
        """
        placed = self._placed.get(model)
        if placed is None:
            return False
        loading = sum(
            pending.order.model == model and not pending.awaiting_report
            for pending in self._pending.values()
        )
        return loading >= max(1, len(placed) // 2)

    def _copy_count(self, model: ModelName, version: Version) -> int:
        """Return how many upstreams serve a version or newer, or are loading it."""
        loading = {
            pending.order.upstream
            for pending in self._pending.values()
            if pending.order.model == model and pending.order.version >= version
        }
        serving = {
            u.upstream_id
            for u in self._available_engines()
            if u.versions.get(model, Version(0)) >= version
        }
        return len(loading | serving)

    def _update_placement(self) -> None:
        engines = self._available_engines()
        names = [u.upstream_id for u in engines]
        if names == self._placed_upstreams and not self._needs_plan:
            return
        self._placed_upstreams = names
        self._placed = self.placement.place(self._models(), engines)
        self._needs_plan = True

    def _available_engines(self) -> list[Upstream]:
        return [
            u
            for u in self._ledger.upstreams.values()
            if u.availability() is Availability.AVAILABLE
            and u.is_engine()
            and u.health.state is not HealthState.EJECTED
        ]

    def _models(self) -> list[ModelName]:
        served = {ModelName(self.document.model)}
        served |= {ModelName(t.model) for t in self.document.trainers if t.model}
        # The order is that in which the models were first announced.
        return [model for model in self._freshness.newest if model in served]

    def _is_due(self, upstream: Upstream, model: ModelName, now: float) -> bool:
        served = upstream.versions.get(model)
        if served is not None and served >= self._freshness.newest[model]:
            return False
        placed = self._placed.get(model)
        if placed is not None and upstream.upstream_id not in placed:
            return False
        retry_state = self._retry_states.get((upstream.upstream_id, model))
        return retry_state is None or retry_state.not_before <= now

    def _engines_to_order(self) -> list[Upstream]:
        busy = {pending.order.upstream for pending in self._pending.values()}
        engines = [
            u
            for u in self._ledger.upstreams.values()
            if u.availability() is Availability.AVAILABLE
            and u.upstream_id not in busy
            and u.is_engine()
        ]
        ejected = HealthState.EJECTED
        return sorted(
            engines, key=lambda u: (u.health.state is ejected, len(u.attempts))
        )

    def _issue(self, upstream: Upstream, model: ModelName, now: float) -> bool:
        version = self._freshness.newest[model]
        region = Region(upstream.entry.region)
        source = self._choose_source(upstream, model, version)
        if source is None and self._has_transfer(region, model):
            return False
        self._sequence += 1
        prefix = self._ledger.settings.id_prefix
        order_id = OrderId(f"{self.document.name}#{prefix}{self._sequence}")
        order = Order(order_id, upstream.upstream_id, model, version, source)
        pending = PendingOrder(order, region)
        self._pending[order_id] = pending
        self._ledger.actions.append(order)
        upstream.swap_until = now + 2 * self.document.weights.swap_s
        upstream.loading.add(model)
        due = now + self._timeout()
        self._timers.at(due, lambda later: self._time_out(pending, later))
        return True

    def _choose_source(
        self, upstream: Upstream, model: ModelName, version: Version
    ) -> UpstreamId | None:
        retry_state = self._retry_states.get(
            (upstream.upstream_id, model), RetryState()
        )
        sources = [
            u
            for u in self._ledger.upstreams.values()
            if u.versions.get(model) == version
            and u.reported in {Availability.AVAILABLE, Availability.DRAINING}
            and u.entry.region == upstream.entry.region
            and u.health.state is not HealthState.EJECTED
            and u.upstream_id != retry_state.failed_source
        ]
        sent = [pending.order.source for pending in self._pending.values()]
        best = min(
            sources,
            key=lambda u: (sent.count(u.upstream_id), len(u.attempts)),
            default=None,
        )
        return best.upstream_id if best else None

    def _has_transfer(self, region: Region, model: ModelName) -> bool:
        if not self.document.weights.bytes:
            return False
        return any(
            pending.region == region
            and pending.order.model == model
            and pending.order.source is None
            for pending in self._pending.values()
        )

    def _timeout(self) -> float:
        weights = self.document.weights
        transfer = weights.bytes / SLOWEST_TRANSFER_BYTES_PER_S
        return ORDER_TIMEOUT_S + TIMEOUT_SWAP_FACTOR * weights.swap_s + transfer

    def _time_out(self, pending: PendingOrder, now: float) -> None:
        if not pending.awaiting_report:
            self._fail(pending, now)

    def _fail(self, pending: PendingOrder, now: float) -> None:
        order = pending.order
        if self._pending.pop(order.order_id, None) is None:
            return
        upstream = self._ledger.upstreams.get(order.upstream)
        if upstream is not None:
            upstream.loading.discard(order.model)
        key = (order.upstream, order.model)
        retry_state = self._retry_states.setdefault(key, RetryState())
        delay = min(RETRY_MAX_S, RETRY_BASE_S * 2.0 ** min(retry_state.failures, 8))
        retry_state.failures += 1
        retry_state.failed_source = order.source
        self._retry_at(retry_state, now + delay * self._jitter.uniform(*RETRY_SPREAD))

    def _defer(self, pending: PendingOrder, until: float) -> None:
        """Retry an order later, so that another one may take its place meanwhile."""
        order = pending.order
        del self._pending[order.order_id]
        key = (order.upstream, order.model)
        self._retry_at(self._retry_states.setdefault(key, RetryState()), until)

    def _retry_at(self, retry_state: RetryState, until: float) -> None:
        retry_state.not_before = until
        self._timers.at(until, self._replan_on_timer)
        self.replan()

    def _replan_on_timer(self, now: float) -> None:
        self.replan()

    def _pending_orders_of(self, upstream: Upstream) -> list[PendingOrder]:
        pending_orders = self._pending.values()
        return [x for x in pending_orders if x.order.upstream == upstream.upstream_id]


def _stalest_first(upstreams: Iterable[Upstream], model: ModelName) -> list[Upstream]:
    """Return the upstreams sorted by the version they serve, ejected ones last.

    An upstream that has just loaded a version runs the work that waited for it before
    it loads the next one.
    """
    ejected = HealthState.EJECTED
    return sorted(
        upstreams,
        key=lambda u: (u.health.state is ejected, u.versions.get(model, Version(0))),
    )
