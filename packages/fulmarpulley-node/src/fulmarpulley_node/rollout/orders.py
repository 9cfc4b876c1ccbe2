"""Order engines to load weight versions, as the owner of their partition."""

import time

import msgspec
from result import Ok

from fulmarpulley_core.ids import Version
from fulmarpulley_core.pool.messages import Order

from ..observe.events import log_event
from .directory import Directory
from .interfaces import LoadOrder, UpstreamCalls
from .ownership import Ownership, Tenure


class OrderOutcome(msgspec.Struct, frozen=True):
    """Hold the version that an engine loaded, or the seconds until a retry."""

    loaded: Version | None = None
    retry_after: float | None = None


ORDER_FAILED = OrderOutcome()


class OrderIssuer:
    """Issue the orders of one tenure."""

    def __init__(
        self,
        directory: Directory,
        calls: UpstreamCalls,
        ownership: Ownership,
        tenure: Tenure,
    ) -> None:
        self.directory = directory
        self.calls = calls
        self.ownership = ownership
        self.tenure = tenure

    async def issue(self, order: Order) -> OrderOutcome:
        """Issue an order and wait until the engine has loaded the version.

        An order that is not permitted yet returns `retry_after` at once, so that the
        pool can issue other orders and assign work to the engine meanwhile.
        """
        fence = await self.ownership.wait_for_fence(self.tenure)
        upstream = order.upstream
        if fence is None:
            return ORDER_FAILED
        order_wait_s = await self.ownership.order_wait_s(self.tenure, upstream)
        entry = self.directory.upstream(upstream)
        if order_wait_s is None or entry is None:
            return ORDER_FAILED
        if order_wait_s > 0:
            return OrderOutcome(retry_after=order_wait_s)
        started_at = time.monotonic()
        # A newer version may have been announced since the pool made the order.
        newest_version = self.directory.versions.get(order.model, order.version)
        version = max(order.version, newest_version)
        load_order = LoadOrder(
            model=order.model,
            version=version,
            fence=fence,
            permit=lambda: self.ownership.permit_order(self.tenure, upstream, fence),
        )
        result = await self.calls.load_version(entry, load_order)
        log_event(
            "order_finished",
            upstream=upstream,
            model=order.model,
            version=version,
            fence=fence,
            outcome="ok" if isinstance(result, Ok) else result.err_value,
            seconds=time.monotonic() - started_at,
        )
        return OrderOutcome(loaded=version) if isinstance(result, Ok) else ORDER_FAILED
