"""Run the load orders of a pool and the reports of its engines."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from fulmarpulley_core.ids import ModelName, PrefixId, UpstreamId, Version
from fulmarpulley_core.pool.messages import (
    CacheReport,
    LoadReport,
    Order,
    OrderFinished,
)

from .lengths import Dice

if TYPE_CHECKING:
    from .service import Service

LOAD_REPORT_S = 1.0
# An engine reports the load that it had this long ago.
LOAD_LAG_S = 0.5
CACHE_LAG_S = 2.0
# One cache report in ten is lost.
CACHE_LOSS = 0.1


class Swaps:
    """Copy weights to engines, pause them for the swap and report the result."""

    def __init__(self, service: Service, weight_bytes: int) -> None:
        self.service = service
        self.weight_bytes = weight_bytes
        self.newest: dict[ModelName, Version] = {}
        self.failing: dict[UpstreamId, int] = {}
        self.ordered = 0
        self.failed = 0
        self.converged: list[float] = []
        self.dice = Dice("cache", 0)
        for upstream in service.regions:
            service.clock.after(LOAD_REPORT_S, partial(self._report, upstream))

    def fail_next(self, upstream: UpstreamId) -> None:
        """Let the next swap of an engine fail."""
        self.failing[upstream] = self.failing.get(upstream, 0) + 1

    def order(self, order: Order) -> None:
        """Copy the weights from the source or the store, then swap."""
        self.ordered += 1
        latency = self.service.latency(order.upstream)
        self.service.clock.after(latency, lambda: self._copy(order))

    def _copy(self, order: Order) -> None:
        service = self.service
        if not service.engines[order.upstream].alive:
            self._end(order, False)
            return
        source = service.home_region
        if order.source is not None:
            held = service.engines[order.source]
            if not held.alive or held.versions.get(order.model) != order.version:
                self._end(order, False)
                return
            source = service.regions[order.source]
        target = service.regions[order.upstream]
        epoch = service.engines[order.upstream].epoch
        service.network.transfer(
            source, target, self.weight_bytes, lambda: self._pause(order, epoch)
        )

    def _pause(self, order: Order, epoch: int) -> None:
        engine = self.service.engines[order.upstream]
        if not engine.alive or engine.epoch != epoch:
            self._end(order, False)
            return
        engine.pause()
        delay = engine.profile.swap_s
        self.service.clock.after(delay, lambda: self._swap(order, epoch))

    def _swap(self, order: Order, epoch: int) -> None:
        engine = self.service.engines[order.upstream]
        if not engine.alive or engine.epoch != epoch:
            self._end(order, False)
            return
        engine.resume()
        if self.failing.get(order.upstream, 0) > 0:
            self.failing[order.upstream] -= 1
            self.failed += 1
            self._end(order, False)
            return
        engine.set_version(order.model, order.version)
        self.service.report_versions(order.upstream)
        self._end(order, True)

    def _end(self, order: Order, ok: bool) -> None:
        self.service.to_home(order.upstream, OrderFinished(order.order_id, ok))

    def _report(self, upstream: UpstreamId) -> None:
        service = self.service
        clock = service.clock
        clock.after(LOAD_REPORT_S, lambda: self._report(upstream))
        engine = service.engines[upstream]
        if not engine.alive:
            return
        report = LoadReport(
            upstream=upstream,
            running=len(engine.running),
            queued=len(engine.waiting),
            cache_used=engine.cache_used,
            age=LOAD_LAG_S,
        )
        clock.after(LOAD_LAG_S, lambda: service.to_home(upstream, report))
        self._report_cache(upstream, engine.cache_added, engine.cache_removed)
        engine.cache_added, engine.cache_removed = [], []

    def _report_cache(
        self, upstream: UpstreamId, added: list[PrefixId], removed: list[PrefixId]
    ) -> None:
        if not (added or removed) or self.dice.uniform() < CACHE_LOSS:
            return
        event = CacheReport(upstream, added, removed)
        service = self.service
        service.clock.after(CACHE_LAG_S, lambda: service.to_home(upstream, event))
