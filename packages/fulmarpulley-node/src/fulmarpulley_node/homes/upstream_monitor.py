"""Poll the load of one upstream and send it the orders of its pool."""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from fulmarpulley_core.ids import ModelName, PrefixId, UpstreamId, Version
from fulmarpulley_core.pool.messages import (
    Availability,
    CacheReport,
    Event,
    LoadReport,
    Order,
    OrderFinished,
    UpstreamState,
    VersionReport,
)
from fulmarpulley_schema.generated.document import UpstreamEntry
from fulmarpulley_schema.generated.upstream import (
    CacheEvents,
    LoadBody,
    OrderAction,
    OrderRequest,
)

from ..observe.events import log_event
from ..observe.metrics import Metrics
from ..upstreams import upstream_dialects

LOAD_POLL_PERIOD_S = 0.25
CACHE_POLL_PERIOD_S = 0.5
# Load reports lag; an order fails if its version is not reported within this time.
VERSION_REPORT_TIMEOUT_S = 5.0


class UpstreamMonitor:
    """Report the state of one upstream to its pool and send it orders."""

    def __init__(
        self,
        entry: UpstreamEntry,
        post: Callable[[Event], None],
        is_leaving: Callable[[str], bool],
        metrics: Metrics,
    ) -> None:
        self.entry = entry
        self.upstream = UpstreamId(entry.id)
        self.post = post
        self.is_leaving = is_leaving
        self.metrics = metrics
        self.dialect = upstream_dialects.get(entry.dialect)(entry)
        self.versions: dict[str, int] = {}
        self.draining = False
        self.polled = asyncio.Event()
        self.availability: Availability | None = None

    async def poll(self) -> None:
        """Report load, versions and availability until cancelled."""
        while True:
            result = await self.dialect.load()
            if isinstance(result, Ok) and result.ok_value is not None:
                self._process_load(result.ok_value)
            self.report_availability()
            self.polled.set()
            await asyncio.sleep(LOAD_POLL_PERIOD_S)

    async def poll_cache(self) -> None:
        """Report cached prefixes until cancelled; the reports may be stale or wrong."""
        start = 1
        while True:
            result = await self.dialect.cache_events(start)
            if isinstance(result, Ok) and result.ok_value is None:
                return
            if isinstance(result, Ok) and result.ok_value is not None:
                # A restarted engine numbers its events from the beginning again.
                start = result.ok_value.next
                self._process_cache_events(result.ok_value)
            await asyncio.sleep(CACHE_POLL_PERIOD_S)

    def report_availability(self) -> None:
        """Report a change of availability by instance list or load report."""
        state = Availability.AVAILABLE
        if self.is_leaving(self.entry.id):
            state = Availability.LEAVING
        elif self.draining:
            state = Availability.DRAINING
        if state is not self.availability:
            self.availability = state
            log_event("upstream_state", upstream=self.entry.id, state=state.value)
            self.post(UpstreamState(self.upstream, state))

    async def send_order(
        self, order: Order, fence: int | None, source: str
    ) -> int | None:
        """Send an order; if refused, return the newest fencing number it reported."""
        if fence is None and self.entry.checks_fencing:
            self._order_ended(
                order, False, "no fencing number is known and the log is unavailable"
            )
            return None
        request = OrderRequest(
            order_id=order.order_id,
            action=OrderAction.LOAD,
            model=order.model,
            version=order.version,
            fence=fence or 0,
            source=source,
        )
        result = await self.dialect.order(request)
        if isinstance(result, Err):
            self._order_ended(order, False, result.err_value.reason)
            return result.err_value.newest_fence
        served = await self._wait_for_version(order)
        self._order_ended(
            order,
            served,
            "" if served else "the upstream did not report the version in time",
        )
        return None

    async def close(self) -> None:
        """Close all connections."""
        await self.dialect.close()

    def _process_load(self, load: LoadBody) -> None:
        report = LoadReport(
            self.upstream, load.running, load.queued, load.cache_used, load.age_s
        )
        self.post(report)
        self.draining = load.draining
        for model, version in load.versions.items():
            if self.versions.get(model) != version:
                self.versions[model] = version
                self.post(
                    VersionReport(self.upstream, ModelName(model), Version(version))
                )

    def _process_cache_events(self, page: CacheEvents) -> None:
        for event in page.events:
            added = [PrefixId(prefix) for prefix in event.added]
            removed = [PrefixId(prefix) for prefix in event.removed]
            self.post(CacheReport(self.upstream, added, removed))

    async def _wait_for_version(self, order: Order) -> bool:
        deadline = asyncio.get_running_loop().time() + VERSION_REPORT_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline:
            result = await self.dialect.load()
            if isinstance(result, Ok) and result.ok_value is not None:
                self._process_load(result.ok_value)
                if self.versions.get(order.model, -1) >= order.version:
                    return True
            await asyncio.sleep(LOAD_POLL_PERIOD_S / 4)
        return False

    def _order_ended(self, order: Order, ok: bool, reason: str) -> None:
        outcome = "ok" if ok else "failed"
        self.metrics.orders.inc({"upstream": self.entry.id, "outcome": outcome})
        log_event(
            "order_ended",
            upstream=self.entry.id,
            model=order.model,
            version=order.version,
            outcome=outcome,
            reason=reason,
        )
        self.post(OrderFinished(order.order_id, ok))
