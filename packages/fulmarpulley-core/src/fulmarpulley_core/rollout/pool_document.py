"""Build the service document for the dispatcher of a pool from the topology."""

from collections.abc import Iterable, Mapping

from fulmarpulley_schema.generated.document import (
    AttachState,
    ClassEntry,
    Hedges,
    Limits,
    Retries,
    ServiceDocument,
    ServiceKind,
    TrainerEntry,
    UpstreamEntry,
    Weights,
)

from ..ids import DataCentre, Region
from .topology import Route, RouteKind, Service
from .upstreams import ListedState, ListedUpstream

# A running generation sends an event every 50 ms. Engines that are four times slower
# and preempted requests still send one within this time.
STALL_S = 2.0
# The configuration does not state how many engines can load weights at once without
# slowing each other down. The known deployments allow 2 of 5, 9 of 23 and 10 of 24.
LOADING_SHARE = 0.4
MIN_SWAPS_AT_ONCE = 2
# Engines load weights from a weight store, not from each other.
NO_TRANSFER_BYTES = 0
# Items are retried until the trainer ends the step, so failures alone end none.
ITEM_ATTEMPTS = 1_000_000
# Items wait only for a version that their step requires, so staleness ends none.
NO_STALENESS_BOUND = 1_000_000
ENGINE_DIALECT = "engine"
PLAIN_DIALECT = "plain"
DEFAULT_DESK_SLOTS = 4


def pool_document(
    service: Service,
    routes: Iterable[Route],
    upstreams: Iterable[ListedUpstream],
    regions: Mapping[DataCentre, Region],
    drain_s: float,
) -> ServiceDocument:
    """Return the document of a service with its listed upstreams."""
    entries = [_entry(u, service, regions) for u in upstreams]
    service_routes = [
        r for r in routes if any(p.service == service.name for p in r.services)
    ]
    engine = service.engine
    desk_routes = [r for r in service_routes if r.kind is not RouteKind.ROLLOUT]
    attempts = max((r.attempts for r in desk_routes), default=1)
    return ServiceDocument(
        name=service.name,
        kind=ServiceKind.TRAINING if engine else ServiceKind.DESK,
        model=engine.models[0] if engine and engine.models else "none",
        upstreams=entries,
        trainers=[
            TrainerEntry(id=model, model=model)
            for model in (engine.models if engine else ())
        ],
        classes=[
            ClassEntry(name=r.name, priority=max(0, min(9, 9 - r.priority)))
            for r in desk_routes
        ],
        staleness_bound=NO_STALENESS_BOUND,
        limits=Limits(tokens_in_flight=engine.cache_tokens if engine else 65536),
        retries=Retries(
            budget_ratio=0.2,
            backoff_ms=20,
            attempts=ITEM_ATTEMPTS if engine else attempts,
        ),
        hedges=Hedges(budget_ratio=0.05, desk=False),
        drain_s=drain_s,
        stall_s=STALL_S,
        weights=Weights(
            swaps_at_once=max(MIN_SWAPS_AT_ONCE, int(LOADING_SHARE * len(entries))),
            swap_s=0.0,
            bytes=NO_TRANSFER_BYTES,
        ),
    )


def _entry(
    upstream: ListedUpstream, service: Service, regions: Mapping[DataCentre, Region]
) -> UpstreamEntry:
    draining = upstream.state is ListedState.DRAINING
    engine = service.engine
    slots = engine.slots if engine else upstream.slots or DEFAULT_DESK_SLOTS
    return UpstreamEntry(
        id=upstream.upstream_id,
        address=f"http://{upstream.address}",
        data_centre=upstream.data_centre,
        region=regions.get(upstream.data_centre, Region(upstream.data_centre)),
        dialect=ENGINE_DIALECT if engine else PLAIN_DIALECT,
        capacity=max(1, slots),
        state=AttachState.DRAINING if draining else AttachState.ATTACHED,
    )
