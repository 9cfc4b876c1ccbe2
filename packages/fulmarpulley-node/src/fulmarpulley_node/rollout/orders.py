"""Give engines the orders to load versions, as the owner of their partition."""

import time

from result import Ok

from fulmarpulley_core.ids import Version
from fulmarpulley_core.pool.messages import Order

from ..observe.events import log_event
from .directory import Directory
from .interfaces import LoadOrder, UpstreamCalls
from .ownership import Ownership, Tenure


class Orders:
    """Give the orders of one tenure."""

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

    async def give(self, order: Order) -> Version | None:
        """Give an order and return the version that the engine loaded, if it did."""
        fence = await self.ownership.fence(self.tenure)
        upstream = order.upstream
        if fence is None or not await self.ownership.await_turn(self.tenure, upstream):
            return None
        entry = self.directory.upstream(upstream)
        if entry is None:
            return None
        began = time.monotonic()
        # A newer version may have been named while the order waited for its turn.
        newest = self.directory.versions.get(order.model, order.version)
        version = max(order.version, newest)
        load = LoadOrder(
            model=order.model,
            version=version,
            fence=fence,
            permit=lambda: self.ownership.permit_order(self.tenure, upstream, fence),
        )
        done = await self.calls.load_version(entry, load)
        log_event(
            "order_finished",
            upstream=upstream,
            model=order.model,
            version=version,
            fence=fence,
            outcome="ok" if isinstance(done, Ok) else done.err_value,
            seconds=time.monotonic() - began,
        )
        return version if isinstance(done, Ok) else None
