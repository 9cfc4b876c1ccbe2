"""Handle reports of upstreams, trainers and operators."""

from .components import PoolComponents
from .load import record_load_report
from .messages import (
    Availability,
    CacheReport,
    DocumentChanged,
    LimitReport,
    LoadReport,
    OrderFinished,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
)
from .state import Upstream


class ReportHandler:
    """Apply reports to the components of a pool."""

    def __init__(self, components: PoolComponents) -> None:
        self._components = components

    def on_upstream_state(self, event: UpstreamState, now: float) -> None:
        """Record the availability from the instance list or the upstream itself."""
        upstream = self._components.ledger.record_state(
            event.upstream, event.availability
        )
        if upstream is None:
            return
        if upstream.availability() is Availability.AVAILABLE:
            self._components.health.start_ramp(upstream, now)
        self._components.health.update_slots(upstream)
        self._components.weights.replan()
        self._update_drain(upstream, now)

    def on_load_report(self, event: LoadReport, now: float) -> None:
        """Record a load report."""
        upstream = self._components.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            record_load_report(upstream, event, now)

    def on_cache_report(self, event: CacheReport, now: float) -> None:
        """Pass a hint on cached prefixes to the routing policy."""
        self._components.routing.record_cache_report(event)

    def on_limit_report(self, event: LimitReport, now: float) -> None:
        """Record whether an upstream states a rate limit."""
        upstream = self._components.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            upstream.record_limit(event.limited, now)

    def on_version_report(self, event: VersionReport, now: float) -> None:
        """Record the version that an upstream serves."""
        upstream = self._components.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            self._components.weights.record_version(
                upstream, event.model, event.version, now
            )

    def on_version_announced(self, event: VersionAnnounced, now: float) -> None:
        """Record a new version, and restart samples that it makes too stale."""
        components = self._components
        if not components.freshness.announce(event.model, event.version, now):
            return
        components.weights.replan()
        components.timers.at(
            components.freshness.swap_wait_end(event.model),
            lambda _: components.request_dispatch(),
        )
        running = {attempt.item for attempt in components.ledger.attempts.values()}
        for item in sorted(running, key=lambda item: item.sequence):
            if item.work.model == event.model and item.work.repeatable:
                components.restart_if_stale(item)

    def on_order_finished(self, event: OrderFinished, now: float) -> None:
        """Record the end of a load order."""
        self._components.weights.end_order(event, now)

    def on_document_changed(self, event: DocumentChanged, now: float) -> None:
        """Apply a new document."""
        known = list(self._components.ledger.upstreams.values())
        for upstream in self._components.change_document(event.document):
            self._components.health.start_ramp(upstream, now)
        self._components.health.update_all_slots()
        self._components.weights.replan()
        for upstream in known:
            self._update_drain(upstream, now)

    def _update_drain(self, upstream: Upstream, now: float) -> None:
        if upstream.availability() is Availability.AVAILABLE:
            upstream.unavailable_since = None
        elif upstream.unavailable_since is None:
            upstream.unavailable_since = now
            due = now + self._components.document.drain_s
            self._components.timers.at(due, lambda _: self._end_drain(upstream, now))

    def _end_drain(self, upstream: Upstream, unavailable_since: float) -> None:
        if upstream.unavailable_since != unavailable_since:
            return
        for attempt in list(upstream.attempts.values()):
            if attempt.item.work.repeatable:
                self._components.move(attempt)
