"""Give engines the orders to load versions, as the owner of their partition."""

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
    """Hold the version that an engine loaded, or when to give the order again."""

    loaded: Version | None = None
    retry_after: float | None = None


FAILED = OrderOutcome()


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

    async def give(self, order: Order) -> OrderOutcome:
        """Give an order and wait until the engine has loaded the version.

        An order that has to wait for its turn is left to the pool, which gives another
        one meanwhile and lets the engine take work.
        """
        fence = await self.ownership.fence(self.tenure)
        upstream = order.upstream
        if fence is None:
            return FAILED
        turn_in_s = await self.ownership.turn_in_s(self.tenure, upstream)
        entry = self.directory.upstream(upstream)
        if turn_in_s is None or entry is None:
            return FAILED
        if turn_in_s > 0:
            return OrderOutcome(retry_after=turn_in_s)
        began = time.monotonic()
        # A newer version may have been named meanwhile.
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
        return OrderOutcome(loaded=version) if isinstance(done, Ok) else FAILED
