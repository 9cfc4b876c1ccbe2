"""Manage the connections to the upstreams of one pool."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool.messages import Event, Order
from fulmarpulley_schema.generated.document import ServiceDocument, UpstreamEntry

from ..background_tasks import BackgroundTasks
from ..observe.metrics import Metrics
from ..upstreams import UpstreamDialect
from .upstream_monitor import UpstreamMonitor


class UpstreamMonitors:
    """Run one monitor for each upstream in the document."""

    def __init__(
        self,
        post: Callable[[Event], None],
        is_leaving: Callable[[str], bool],
        in_use: Callable[[UpstreamId], bool],
        metrics: Metrics,
    ) -> None:
        self.post = post
        self.is_leaving = is_leaving
        self.in_use = in_use
        self.metrics = metrics
        self.monitors: dict[UpstreamId, UpstreamMonitor] = {}
        self.poll_tasks: dict[UpstreamId, list[asyncio.Task[None]]] = {}
        # Monitors of removed upstreams, kept while attempts use their connections.
        self.retired: list[UpstreamMonitor] = []
        self.tasks = BackgroundTasks()

    def update(self, document: ServiceDocument) -> None:
        """Start and retire monitors so that they match the document."""
        entries = {UpstreamId(entry.id): entry for entry in document.upstreams}
        for upstream in list(self.monitors):
            entry = entries.get(upstream)
            if entry is None or not _same_endpoint(
                self.monitors[upstream].entry, entry
            ):
                self._retire(upstream)
        for upstream, entry in entries.items():
            if upstream in self.monitors:
                self.monitors[upstream].entry = entry
            else:
                self._start_monitor(upstream, entry)

    def dialect(self, upstream: UpstreamId) -> UpstreamDialect | None:
        """Return the dialect of an upstream, including a retired one."""
        known = self.monitors.get(upstream)
        if known is not None:
            return known.dialect
        found = (monitor for monitor in self.retired if monitor.upstream == upstream)
        retired = next(found, None)
        return None if retired is None else retired.dialect

    def instance_list_changed(self) -> None:
        """Report the availability of all upstreams."""
        for monitor in self.monitors.values():
            monitor.report_availability()

    async def wait_for_first_poll(self, seconds: float) -> None:
        """Wait until each upstream has been polled once, or for the given time."""
        polled = [monitor.polled.wait() for monitor in self.monitors.values()]
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*polled)

    async def send_order(self, order: Order, fence: int | None) -> int | None:
        """Send an order; if refused, return the newest fencing number it reported."""
        monitor = self.monitors.get(order.upstream)
        if monitor is None:
            return None
        source = ""
        if order.source is not None and order.source in self.monitors:
            source = self.monitors[order.source].entry.address
        return await monitor.send_order(order, fence, source)

    async def close_unused(self) -> None:
        """Close the connections to retired upstreams that no attempt uses."""
        unused = [m for m in self.retired if not self.in_use(m.upstream)]
        self.retired = [m for m in self.retired if m not in unused]
        for monitor in unused:
            await monitor.close()

    async def stop(self) -> None:
        """Close all connections."""
        await self.tasks.stop()
        for monitor in [*self.monitors.values(), *self.retired]:
            await monitor.close()

    def _start_monitor(self, upstream: UpstreamId, entry: UpstreamEntry) -> None:
        monitor = UpstreamMonitor(entry, self.post, self.is_leaving, self.metrics)
        self.monitors[upstream] = monitor
        self.poll_tasks[upstream] = [
            self.tasks.supervise(monitor.poll),
            self.tasks.supervise(monitor.poll_cache),
        ]

    def _retire(self, upstream: UpstreamId) -> None:
        for poll in self.poll_tasks.pop(upstream):
            poll.cancel()
        self.retired.append(self.monitors.pop(upstream))


def _same_endpoint(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return known.address == entry.address and known.dialect == entry.dialect
