"""Order upstreams to load new versions of weights until all serve the newest."""

from collections.abc import Callable, Iterable, Mapping

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument

from ..choices import SeededRandom
from ..ids import ModelName, OrderId, Region, UpstreamId, Version
from .freshness import Freshness
from .ledger import Ledger
from .messages import Availability, Order, OrderFinished
from .model_placement import ModelPlacement
from .state import HealthState, Upstream
from .timers import Timers

RETRY_BASE_S = 0.5
RETRY_MAX_S = 30.0
RETRY_SPREAD = (0.75, 1.25)
# A swap is given up after this time, ten times its usual pause, and the time of
# the transfer at the rate below.
ORDER_TIMEOUT_S = 30.0
TIMEOUT_SWAPS = 10.0
SLOWEST_TRANSFER_BYTES_PER_S = 5_000_000
# Reports lag: the report of a loaded version is awaited this long, and an older
# version must still be served after the recheck time before it is replaced.
CONFIRM_S = 5.0
RECHECK_S = 2.0

Crossing = set[tuple[str, ModelName]]


class Load(msgspec.Struct, eq=False):
    """Hold an order that was given and is not confirmed by a report."""

    order: Order
    region: Region
    confirming: bool = False


class Target(msgspec.Struct, eq=False):
    """Hold what went wrong with the swaps of a model at an upstream."""

    failures: int = 0
    not_before: float = 0.0
    failed_source: UpstreamId | None = None


class Weights:
    """Bring every upstream to the newest version, a few at a time."""

    def __init__(
        self,
        document: ServiceDocument,
        ledger: Ledger,
        freshness: Freshness,
        timers: Timers,
        jitter: SeededRandom,
        wake: Callable[[], None],
        wanted_versions: Callable[[], Mapping[ModelName, Version]],
    ) -> None:
        self.document = document
        self._wanted_versions = wanted_versions
        self._ledger = ledger
        self._freshness = freshness
        self._timers = timers
        self._jitter = jitter
        self._wake = wake
        self._sequence = 0
        self._changed = False
        self._loads: dict[OrderId, Load] = {}
        self._targets: dict[tuple[UpstreamId, ModelName], Target] = {}
        self.placement = ModelPlacement()
        self._placed: dict[ModelName, set[UpstreamId]] = {}
        self._placed_on: list[UpstreamId] = []

    def report(
        self, upstream: Upstream, model: ModelName, version: Version, now: float
    ) -> None:
        """Record the version that an upstream says it serves."""
        before = upstream.versions.get(model)
        if before == version:
            return
        upstream.versions[model] = version
        self.replan()
        key = (upstream.upstream_id, model)
        if before is not None and version < before:
            target = self._targets.setdefault(key, Target())
            target.not_before = max(target.not_before, now + RECHECK_S)
            self._timers.at(target.not_before, self._plan_later)
        for load in self._loads_of(upstream):
            if load.order.model == model and version >= load.order.version:
                del self._loads[load.order.order_id]
                upstream.loading.discard(model)
                self._targets.pop(key, None)
                upstream.swap_until = min(upstream.swap_until, now)

    def finished(self, event: OrderFinished, now: float) -> None:
        """Await the report of a loaded version, or retry a failed order later."""
        load = self._loads.get(event.order_id)
        if load is None or load.confirming:
            return
        upstream = self._ledger.upstreams.get(load.order.upstream)
        if upstream is not None:
            upstream.swap_until = min(upstream.swap_until, now)
            upstream.loading.discard(load.order.model)
        if event.retry_after is not None:
            self._defer(load, now + event.retry_after)
            return
        if not event.ok:
            self._fail(load, now)
            return
        load.confirming = True
        self._timers.at(now + CONFIRM_S, lambda later: self._fail(load, later))
        self.replan()

    def replan(self) -> None:
        """Note that new orders may be due."""
        self._changed = True
        self._wake()

    def plan(self, now: float) -> None:
        """Give the orders that may be given now."""
        if self._ledger.settings.split_models:
            self._place()
        if not self._changed:
            return
        self._changed = False
        loading = sum(not load.confirming for load in self._loads.values())
        room = self.document.weights.swaps_at_once - loading
        if room <= 0 or not self._freshness.newest:
            return
        # Models whose first copy is on its way to a region, found in this pass.
        crossing: Crossing = set()
        wanted = self._wanted_versions()
        while room > 0 and self._order_next(wanted, crossing, now):
            room -= 1

    def _order_next(
        self, wanted: Mapping[ModelName, Version], crossing: Crossing, now: float
    ) -> bool:
        """Give the next order.

        Models go first whose work no upstream can run, then those of which the fewest
        serve the newest version.
        """
        models = sorted(
            self._models(),
            key=lambda model: (
                model not in wanted or self._copies(model, wanted[model]) > 0,
                self._copies(model, self._freshness.newest[model]),
            ),
        )
        upstreams = self._by_work()
        return any(
            self._order_model(model, upstreams, crossing, now)
            for model in models
            if not self._loads_enough(model)
        )

    def _order_model(
        self,
        model: ModelName,
        upstreams: Iterable[Upstream],
        crossing: Crossing,
        now: float,
    ) -> bool:
        for upstream in _stalest_first(upstreams, model):
            place = (upstream.entry.region, model)
            if place in crossing or not self._is_due(upstream, model, now):
                continue
            if self._order(upstream, model, now):
                return True
            crossing.add(place)
        return False

    def _loads_enough(self, model: ModelName) -> bool:
        """Tell whether half of a model's upstreams load it.

        New work of the model starts at the others meanwhile.
        """
        placed = self._placed.get(model)
        if placed is None:
            return False
        loading = sum(
            load.order.model == model and not load.confirming
            for load in self._loads.values()
        )
        return loading >= max(1, len(placed) // 2)

    def _copies(self, model: ModelName, version: Version) -> int:
        """Return how many upstreams serve a version or newer, or are about to."""
        loading = {
            load.order.upstream
            for load in self._loads.values()
            if load.order.model == model and load.order.version >= version
        }
        serving = {
            u.upstream_id
            for u in self._able()
            if u.versions.get(model, Version(0)) >= version
        }
        return len(loading | serving)

    def _place(self) -> None:
        able = self._able()
        names = [u.upstream_id for u in able]
        if names == self._placed_on and not self._changed:
            return
        self._placed_on = names
        self._placed = self.placement.place(self._models(), able)
        self._changed = True

    def _able(self) -> list[Upstream]:
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
        # The dict of newest versions keeps the order in which models came.
        return [model for model in self._freshness.newest if model in served]

    def _is_due(self, upstream: Upstream, model: ModelName, now: float) -> bool:
        served = upstream.versions.get(model)
        if served is not None and served >= self._freshness.newest[model]:
            return False
        placed = self._placed.get(model)
        if placed is not None and upstream.upstream_id not in placed:
            return False
        target = self._targets.get((upstream.upstream_id, model))
        return target is None or target.not_before <= now

    def _by_work(self) -> list[Upstream]:
        busy = {load.order.upstream for load in self._loads.values()}
        able = [
            u
            for u in self._ledger.upstreams.values()
            if u.availability() is Availability.AVAILABLE
            and u.upstream_id not in busy
            and u.is_engine()
        ]
        ejected = HealthState.EJECTED
        return sorted(able, key=lambda u: (u.health.state is ejected, len(u.attempts)))

    def _order(self, upstream: Upstream, model: ModelName, now: float) -> bool:
        version = self._freshness.newest[model]
        region = Region(upstream.entry.region)
        source = self._source(upstream, model, version)
        if source is None and self._is_crossing(region, model):
            return False
        self._sequence += 1
        prefix = self._ledger.settings.id_prefix
        order_id = OrderId(f"{self.document.name}#{prefix}{self._sequence}")
        order = Order(order_id, upstream.upstream_id, model, version, source)
        load = Load(order, region)
        self._loads[order_id] = load
        self._ledger.actions.append(order)
        upstream.swap_until = now + 2 * self.document.weights.swap_s
        upstream.loading.add(model)
        due = now + self._timeout()
        self._timers.at(due, lambda later: self._time_out(load, later))
        return True

    def _source(
        self, upstream: Upstream, model: ModelName, version: Version
    ) -> UpstreamId | None:
        target = self._targets.get((upstream.upstream_id, model), Target())
        copies = [
            u
            for u in self._ledger.upstreams.values()
            if u.versions.get(model) == version
            and u.reported in {Availability.AVAILABLE, Availability.DRAINING}
            and u.entry.region == upstream.entry.region
            and u.health.state is not HealthState.EJECTED
            and u.upstream_id != target.failed_source
        ]
        sent = [load.order.source for load in self._loads.values()]
        best = min(
            copies,
            key=lambda u: (sent.count(u.upstream_id), len(u.attempts)),
            default=None,
        )
        return best.upstream_id if best else None

    def _is_crossing(self, region: Region, model: ModelName) -> bool:
        if not self.document.weights.bytes:
            return False
        return any(
            load.region == region
            and load.order.model == model
            and load.order.source is None
            for load in self._loads.values()
        )

    def _timeout(self) -> float:
        weights = self.document.weights
        transfer = weights.bytes / SLOWEST_TRANSFER_BYTES_PER_S
        return ORDER_TIMEOUT_S + TIMEOUT_SWAPS * weights.swap_s + transfer

    def _time_out(self, load: Load, now: float) -> None:
        if not load.confirming:
            self._fail(load, now)

    def _fail(self, load: Load, now: float) -> None:
        order = load.order
        if self._loads.pop(order.order_id, None) is None:
            return
        upstream = self._ledger.upstreams.get(order.upstream)
        if upstream is not None:
            upstream.loading.discard(order.model)
        key = (order.upstream, order.model)
        target = self._targets.setdefault(key, Target())
        delay = min(RETRY_MAX_S, RETRY_BASE_S * 2.0 ** min(target.failures, 8))
        target.failures += 1
        target.failed_source = order.source
        self._wait_until(target, now + delay * self._jitter.between(*RETRY_SPREAD))

    def _defer(self, load: Load, until: float) -> None:
        """Give an order later, and another one in its place meanwhile."""
        order = load.order
        del self._loads[order.order_id]
        key = (order.upstream, order.model)
        self._wait_until(self._targets.setdefault(key, Target()), until)

    def _wait_until(self, target: Target, until: float) -> None:
        target.not_before = until
        self._timers.at(until, self._plan_later)
        self.replan()

    def _plan_later(self, now: float) -> None:
        self.replan()

    def _loads_of(self, upstream: Upstream) -> list[Load]:
        loads = self._loads.values()
        return [x for x in loads if x.order.upstream == upstream.upstream_id]


def _stalest_first(upstreams: Iterable[Upstream], model: ModelName) -> list[Upstream]:
    """Return the upstreams by the version that they serve, ejected ones last.

    One that has just loaded a version takes the work that waited for it, before it
    loads the next one.
    """
    ejected = HealthState.EJECTED
    return sorted(
        upstreams,
        key=lambda u: (u.health.state is ejected, u.versions.get(model, Version(0))),
    )
