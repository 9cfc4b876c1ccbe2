"""Execute the weight orders of a pool and send the reports of its engines."""

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

from .random_lengths import RandomStream

if TYPE_CHECKING:
    from .service import Service

LOAD_REPORT_INTERVAL_S = 1.0
# Age of a load report when it is sent.
LOAD_REPORT_LAG_S = 0.5
CACHE_REPORT_LAG_S = 2.0
CACHE_REPORT_LOSS_RATIO = 0.1


class WeightSwaps:
    """Copy weights to engines, pause the engines for the swap, report results."""

    def __init__(self, service: Service, weight_bytes: int) -> None:
        self.service = service
        self.weight_bytes = weight_bytes
        self.newest: dict[ModelName, Version] = {}
        self.pending_failures: dict[UpstreamId, int] = {}
        self.ordered = 0
        self.failed = 0
        self.converged: list[float] = []
        self.rng = RandomStream("cache", 0)
        for upstream in service.regions:
            service.clock.after(
                LOAD_REPORT_INTERVAL_S, partial(self._report_load, upstream)
            )

    def fail_next(self, upstream: UpstreamId) -> None:
        """Make the next swap of an engine fail."""
        self.pending_failures[upstream] = self.pending_failures.get(upstream, 0) + 1

    def order(self, order: Order) -> None:
        """Copy the weights from the source engine or the weight store, then swap."""
        self.ordered += 1
        latency = self.service.latency(order.upstream)
        self.service.clock.after(latency, lambda: self._copy(order))

    def _copy(self, order: Order) -> None:
        service = self.service
        if not service.engines[order.upstream].alive:
            self._report_result(order, False)
            return
        source = service.home_region
        if order.source is not None:
            source_engine = service.engines[order.source]
            if (
                not source_engine.alive
                or source_engine.versions.get(order.model) != order.version
            ):
                self._report_result(order, False)
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
            self._report_result(order, False)
            return
        engine.pause()
        delay = engine.profile.swap_s
        self.service.clock.after(delay, lambda: self._swap(order, epoch))

    def _swap(self, order: Order, epoch: int) -> None:
        engine = self.service.engines[order.upstream]
        if not engine.alive or engine.epoch != epoch:
            self._report_result(order, False)
            return
        engine.resume()
        if self.pending_failures.get(order.upstream, 0) > 0:
            self.pending_failures[order.upstream] -= 1
            self.failed += 1
            self._report_result(order, False)
            return
        engine.set_version(order.model, order.version)
        self.service.report_versions(order.upstream)
        self._report_result(order, True)

    def _report_result(self, order: Order, ok: bool) -> None:
        self.service.send_to_home(order.upstream, OrderFinished(order.order_id, ok))

    def _report_load(self, upstream: UpstreamId) -> None:
        service = self.service
        clock = service.clock
        clock.after(LOAD_REPORT_INTERVAL_S, lambda: self._report_load(upstream))
        engine = service.engines[upstream]
        if not engine.alive:
            return
        report = LoadReport(
            upstream=upstream,
            running=len(engine.running),
            queued=len(engine.waiting),
            cache_used=engine.cache_used,
            age=LOAD_REPORT_LAG_S,
        )
        clock.after(LOAD_REPORT_LAG_S, lambda: service.send_to_home(upstream, report))
        self._report_cache(upstream, engine.cache_added, engine.cache_removed)
        engine.cache_added, engine.cache_removed = [], []

    def _report_cache(
        self, upstream: UpstreamId, added: list[PrefixId], removed: list[PrefixId]
    ) -> None:
        if not (added or removed) or self.rng.uniform() < CACHE_REPORT_LOSS_RATIO:
            return
        event = CacheReport(upstream, added, removed)
        service = self.service
        service.clock.after(
            CACHE_REPORT_LAG_S, lambda: service.send_to_home(upstream, event)
        )
