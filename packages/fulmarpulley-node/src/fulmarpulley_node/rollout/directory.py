"""Keep the configuration, upstreams and weight versions that the platform publishes."""

import asyncio
import time
from collections.abc import Callable

from aiomisc import Service

from fulmarpulley_core.ids import ModelName, ServiceName, UpstreamId, Version
from fulmarpulley_core.rollout.topology import RouteTable, Topology
from fulmarpulley_core.rollout.upstreams import ListedUpstream, UpstreamDirectory

from ..background_tasks import BackgroundTasks, notify_all
from ..observe.events import log_event
from .clock import elapsed_s
from .metrics import RolloutMetrics

EXPIRY_INTERVAL_S = 0.25
# A node that has not read the configuration for longer, for example after a pause,
# cannot tell that a route or a key does not exist. Shorter than the time within which
# an acknowledged configuration must be in force.
MAX_CONFIG_AGE_S = 2.0
# Shorter gaps between two responses of the store do not count as an outage.
MIN_OUTAGE_S = 1.0


class Directory(Service):
    """Hold what the platform publishes and notify listeners of changes."""

    def __init__(self, metrics: RolloutMetrics) -> None:
        super().__init__()
        self.metrics = metrics
        self.routes: RouteTable | None = None
        self.upstreams = UpstreamDirectory()
        # Time, by the clock that counts suspended time, before which all written
        # configurations are known.
        self.config_current_as_of_s = float("-inf")
        self.versions: dict[ModelName, Version] = {}
        self.listeners: list[Callable[[], None]] = []
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        """Start the periodic expiry of upstream entries."""
        self.tasks.supervise(self._expire)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the periodic expiry."""
        await self.tasks.stop()

    def upstreams_for_service(self, service: ServiceName) -> list[ListedUpstream]:
        """Return the upstreams of a service."""
        return self.upstreams.upstreams_for_service(service)

    def upstream(self, upstream_id: UpstreamId) -> ListedUpstream | None:
        """Return an upstream by its id."""
        return self.upstreams.listed.get(upstream_id)

    def topology_changed(self, topology: Topology) -> None:
        """Apply a version of the configuration if it is newer than the current one."""
        known = self.routes.topology.version if self.routes else 0
        if topology.version <= known:
            log_event("config_skipped", version=topology.version, known=known)
            return
        self.routes = RouteTable(topology)
        self.metrics.config_version.set({}, topology.version)
        log_event(
            "config_in_force",
            version=topology.version,
            before=known,
            routes=len(topology.routes),
            services=len(topology.services),
        )
        self._notify()

    def operator_records_read(self, read_at_s: float) -> None:
        """Record that all configurations written before a time are known."""
        self.config_current_as_of_s = max(self.config_current_as_of_s, read_at_s)

    def config_age_s(self) -> float:
        """Return for how long configurations may have been written unnoticed."""
        return elapsed_s() - self.config_current_as_of_s

    def version_announced(self, model: ModelName, version: Version) -> None:
        """Record a weight version that a trainer announced."""
        if version > self.versions.get(model, Version(0)):
            self.versions[model] = version
            log_event("version_named", model=model, version=version)
            self._notify()

    def upstream_put(self, entry: ListedUpstream) -> None:
        """Add or update the entry of an upstream."""
        known = self.upstreams.listed.get(entry.upstream_id)
        if not self.upstreams.put(entry):
            return
        if known is None or known.state is not entry.state:
            log_event(
                "upstream_listed",
                upstream=entry.upstream_id,
                service=entry.service,
                address=entry.address,
                state=entry.state.value,
            )
        self._notify()

    def upstream_leaving(self, upstream: ListedUpstream) -> None:
        """Stop using an upstream that says in a response that it leaves."""
        if self.upstreams.mark_leaving(upstream):
            log_event(
                "upstream_leaving",
                upstream=upstream.upstream_id,
                service=upstream.service,
                state=upstream.state.value,
            )
            self._notify()

    def upstream_removed(self, upstream_id: UpstreamId) -> None:
        """Remove the entry of an upstream, after a grace period following an outage."""
        removed = self.upstreams.remove(upstream_id, time.monotonic())
        log_event("upstream_unlisted", upstream=upstream_id, at_once=removed)
        if removed:
            self._notify()

    def upstreams_replaced(self, entries: list[ListedUpstream]) -> None:
        """Replace the entries of all upstreams."""
        if self.upstreams.replace(entries, time.monotonic()):
            log_event("upstreams_relisted", count=len(entries))
            self._notify()

    def store_lost(self, topic: str, reason: str) -> None:
        """Log that a topic cannot be read."""
        log_event("store_lost", topic=topic, reason=reason)

    def store_regained(self, topic: str, outage_s: float) -> None:
        """Log the end of an outage; a long one starts the grace period of removals."""
        log_event("store_regained", topic=topic, outage_s=outage_s)
        if outage_s >= MIN_OUTAGE_S:
            self.upstreams.record_store_recovery(time.monotonic())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if self.upstreams.expire(time.monotonic()):
                log_event("upstreams_lapsed", left=len(self.upstreams.listed))
                self._notify()

    def _notify(self) -> None:
        notify_all(self.listeners)
