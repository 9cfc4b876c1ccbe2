"""Handle what upstreams, trainers and operators report."""

from .load import note_report
from .messages import (
    Availability,
    CacheReport,
    DocumentChanged,
    LoadReport,
    UpstreamState,
    VersionAnnounced,
    VersionReport,
)
from .parts import Parts


class Fleet:
    """Keep what a pool knows about its upstreams."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts

    def upstream_state(self, event: UpstreamState, now: float) -> None:
        """Record what the instance list or the upstream says of itself."""
        upstream = self._parts.ledger.upstreams.get(event.upstream)
        if upstream is None or upstream.reported is event.availability:
            return
        upstream.reported = event.availability
        if upstream.availability() is Availability.AVAILABLE:
            self._parts.health.joined(upstream, now)
        self._parts.health.refresh(upstream)

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
        if upstream is not None and upstream.versions.get(event.model) != event.version:
            upstream.versions[event.model] = event.version
            self._parts.wake()

    def version_announced(self, event: VersionAnnounced, now: float) -> None:
        """Record a new version of a trainer."""
        if self._parts.freshness.announce(event.model, event.version):
            self._parts.wake()

    def document_changed(self, event: DocumentChanged, now: float) -> None:
        """Put a new document in force."""
        for upstream in self._parts.change_document(event.document):
            self._parts.health.joined(upstream, now)
        self._parts.health.refresh_all()
