"""Handle what upstreams, trainers and operators report."""

from .load import note_report
from .messages import (
    Availability,
    CacheReport,
    DocumentChanged,
    LoadReport,
    OrderFinished,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
)
from .parts import Parts
from .state import Upstream


class Reports:
    """Apply reports to what a pool knows about its upstreams."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    def upstream_state(self, event: UpstreamState, now: float) -> None:
        """Record what the instance list or the upstream says of itself."""
        upstream = self._parts.ledger.note_state(event.upstream, event.availability)
        if upstream is None:
            return
        if upstream.availability() is Availability.AVAILABLE:
            self._parts.health.joined(upstream, now)
        self._parts.health.refresh(upstream)
        self._parts.weights.replan()
        self._watch_drain(upstream, now)

    def load_report(self, event: LoadReport, now: float) -> None:
        """Record a load report."""
        upstream = self._parts.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            note_report(upstream, event, now)

    def cache_report(self, event: CacheReport, now: float) -> None:
        """Pass a hint on cached prefixes to the routing policy."""
        self._parts.routing.cache_changed(event)

    def version_report(self, event: VersionReport, now: float) -> None:
        """Record the version that an upstream serves."""
        upstream = self._parts.ledger.upstreams.get(event.upstream)
        if upstream is not None:
            self._parts.weights.report(upstream, event.model, event.version, now)

    def version_announced(self, event: VersionAnnounced, now: float) -> None:
        """Record a new version, and start over samples that it makes too old."""
        parts = self._parts
        if not parts.freshness.announce(event.model, event.version, now):
            return
        parts.weights.replan()
        parts.timers.at(parts.freshness.settled_at(event.model), lambda _: parts.wake())
        running = {attempt.item for attempt in parts.ledger.attempts.values()}
        for item in sorted(running, key=lambda item: item.sequence):
            if item.work.model == event.model and item.work.repeatable:
                parts.start_over_expired(item)

    def order_finished(self, event: OrderFinished, now: float) -> None:
        """Record the end of an order."""
        self._parts.weights.finished(event, now)

    def document_changed(self, event: DocumentChanged, now: float) -> None:
        """Put a new document in force."""
        before = list(self._parts.ledger.upstreams.values())
        for upstream in self._parts.change_document(event.document):
            self._parts.health.joined(upstream, now)
        self._parts.health.refresh_all()
        self._parts.weights.replan()
        for upstream in before:
            self._watch_drain(upstream, now)

    def _watch_drain(self, upstream: Upstream, now: float) -> None:
        if upstream.availability() is Availability.AVAILABLE:
            upstream.closed_at = None
        elif upstream.closed_at is None:
            upstream.closed_at = now
            due = now + self._parts.document.drain_s
            self._parts.timers.at(due, lambda _: self._end_drain(upstream, now))

    def _end_drain(self, upstream: Upstream, closed_at: float) -> None:
        if upstream.closed_at != closed_at:
            return
        for attempt in list(upstream.attempts.values()):
            if attempt.item.work.repeatable:
                self._parts.move(attempt)
