"""Keep a node's pools up to date with the configuration and the upstreams."""

from collections.abc import Callable, Iterable
from typing import Any

from fulmarpulley_core.ids import DataCentre, Region, ServiceName
from fulmarpulley_core.placement import text_hash
from fulmarpulley_core.pool.messages import (
    Availability,
    DocumentChanged,
    Event,
    PoolSettings,
    UpstreamState,
)
from fulmarpulley_core.rollout.pool_document import pool_document
from fulmarpulley_core.rollout.upstreams import ListedState
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import log_failure
from .directory import Directory
from .pool_driver import PoolDriver

HandlerFactory = Callable[[ServiceName], dict[type, Callable[[Any], object]]]
DocumentTransform = Callable[[ServiceDocument], ServiceDocument]


def identity(document: ServiceDocument) -> ServiceDocument:
    """Return the document unchanged."""
    return document


class ServicePools:
    """Own one pool for each service that this node has work for."""

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        pool_settings: PoolSettings,
        handlers: HandlerFactory,
        transform_document: DocumentTransform = identity,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.pool_settings = pool_settings
        self.handlers = handlers
        self.transform_document = transform_document
        self.pools: dict[ServiceName, PoolDriver] = {}
        self.documents: dict[ServiceName, ServiceDocument] = {}
        self.closed = False
        # Returns further events for the pool of a service after a directory change.
        self.extra_events: Callable[[ServiceName, PoolDriver], Iterable[Event]] = (
            lambda name, pool: ()
        )

    def __getitem__(self, name: ServiceName) -> PoolDriver:
        return self.pools[name]

    def open(self, name: ServiceName) -> PoolDriver | None:
        """Return the pool of a service, creating it if needed; None if unknown.

        Closed pools stay closed, and none is created any more.
        """
        known = self.pools.get(name)
        if known is not None or self.closed:
            return known
        document = self._document(name)
        if document is None:
            return None
        pool = PoolDriver(
            document, self.pool_settings, text_hash(name), self.handlers(name)
        )
        self.pools[name] = pool
        self.documents[name] = document
        self._update(name, pool)
        return pool

    def directory_changed(self) -> None:
        """Update all pools after the configuration, upstreams or versions changed."""
        for name, pool in self.pools.items():
            try:
                self._update(name, pool)
            except Exception as error:
                # The other pools must not miss the change.
                log_failure("pool_update_failed", self._update, error, service=name)

    def close(self) -> None:
        """Close all pools."""
        self.closed = True
        for pool in self.pools.values():
            pool.close()

    def _update(self, name: ServiceName, pool: PoolDriver) -> None:
        document = self._document(name)
        if document is None:
            return
        events: list[Event] = []
        if document != self.documents[name]:
            self.documents[name] = document
            events.append(DocumentChanged(document))
        for entry in self.directory.upstreams_for_service(name):
            draining = entry.state is ListedState.DRAINING
            state = Availability.DRAINING if draining else Availability.AVAILABLE
            events.append(UpstreamState(entry.upstream_id, state))
        pool.post(*events, *self.extra_events(name, pool))

    def _document(self, name: ServiceName) -> ServiceDocument | None:
        routes = self.directory.routes
        service = routes.topology.services.get(name) if routes else None
        if service is None or routes is None:
            return None
        regions = {DataCentre(k): Region(v) for k, v in self.settings.regions.items()}
        document = pool_document(
            service,
            routes.topology.routes,
            self.directory.upstreams_for_service(name),
            regions,
            self.settings.bounds.drain_ms / 1000,
        )
        return self.transform_document(document)
