"""Hold the connections to the upstreams of one pool."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool.messages import Event, Order
from fulmarpulley_schema.generated.document import ServiceDocument, UpstreamEntry

from ..observe.metrics import Metrics
from ..tasks import TaskGroup
from ..upstreams import UpstreamDialect
from .upstream_watch import UpstreamWatch


class Watches:
    """Own one watch for each upstream that the document names."""

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
        self.watches: dict[UpstreamId, UpstreamWatch] = {}
        self.polls: dict[UpstreamId, list[asyncio.Task[None]]] = {}
        # Watches without a poll, kept while attempts use their connections.
        self.retired: list[UpstreamWatch] = []
        self.tasks = TaskGroup()

    def update(self, document: ServiceDocument) -> None:
        """Watch the upstreams of a document and no others."""
        entries = {UpstreamId(entry.id): entry for entry in document.upstreams}
        for upstream in list(self.watches):
            entry = entries.get(upstream)
            if entry is None or not _same_place(self.watches[upstream].entry, entry):
                self._retire(upstream)
        for upstream, entry in entries.items():
            if upstream in self.watches:
                self.watches[upstream].entry = entry
            else:
                self._watch(upstream, entry)

    def dialect(self, upstream: UpstreamId) -> UpstreamDialect | None:
        """Return the connections to an upstream, also to one that was removed."""
        known = self.watches.get(upstream)
        if known is not None:
            return known.dialect
        found = (watch for watch in self.retired if watch.upstream == upstream)
        retired = next(found, None)
        return None if retired is None else retired.dialect

    def list_changed(self) -> None:
        """Take a change of the instance list at once."""
        for watch in self.watches.values():
            watch.report_availability()

    async def first_reports(self, seconds: float) -> None:
        """Wait until each upstream was asked once, or the time is over."""
        polled = [watch.polled.wait() for watch in self.watches.values()]
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await asyncio.gather(*polled)

    async def order(self, order: Order, fence: int | None) -> int | None:
        """Give an order; return the newest fencing number when it was refused."""
        watch = self.watches.get(order.upstream)
        if watch is None:
            return None
        source = ""
        if order.source is not None and order.source in self.watches:
            source = self.watches[order.source].entry.address
        return await watch.order(order, fence, source)

    async def close_unused(self) -> None:
        """Close the connections to removed upstreams that no attempt uses."""
        unused = [w for w in self.retired if not self.in_use(w.upstream)]
        self.retired = [w for w in self.retired if w not in unused]
        for watch in unused:
            await watch.close()

    async def stop(self) -> None:
        """Close all connections."""
        await self.tasks.stop()
        for watch in [*self.watches.values(), *self.retired]:
            await watch.close()

    def _watch(self, upstream: UpstreamId, entry: UpstreamEntry) -> None:
        watch = UpstreamWatch(entry, self.post, self.is_leaving, self.metrics)
        self.watches[upstream] = watch
        self.polls[upstream] = [
            self.tasks.spawn(watch.poll()),
            self.tasks.spawn(watch.poll_cache()),
        ]

    def _retire(self, upstream: UpstreamId) -> None:
        for poll in self.polls.pop(upstream):
            poll.cancel()
        self.retired.append(self.watches.pop(upstream))


def _same_place(known: UpstreamEntry, entry: UpstreamEntry) -> bool:
    return known.address == entry.address and known.dialect == entry.dialect
