"""Define the configuration in force: services, routes and limits."""

from enum import StrEnum

import msgspec

from ..ids import DataCentre, ModelName, RouteName, ServiceName
from .accounts import AccountTable


class RouteKind(StrEnum):
    """Enumerate the kinds of routes, by whether requests may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"
    ROLLOUT = "rollout"


class EngineLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the engines of a service; cache and event sizes are in tokens."""

    slots: int
    cache_tokens: int
    tokens_per_event: int
    models: tuple[ModelName, ...]


class ScalingLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the upstreams that may be ordered for a service in each data centre.

    :param boot_s: time from an order until a new upstream serves
    :param spot_price: price of an upstream that may be reclaimed, as a share of others
    :param prices: price of an upstream and second by data centre
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float = 1.0
    prices: dict[DataCentre, float] = {}


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a service; one without an engine answers plain requests."""

    name: ServiceName
    connection_limit: int = 0
    engine: EngineLimits | None = None
    scaling: ScalingLimits | None = None


class WeightedService(msgspec.Struct, frozen=True):
    """Assign a share of a route's requests to a service."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a route, which matches a host and a path prefix.

    :param anonymous: whether requests need no key of a client account
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float = 0.0
    priority: int = 5
    attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    retention_s: float = 0.0
    result_deadline_s: float = 0.0
    anonymous: bool = False


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limit the size of requests and the time for which a client may stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Topology(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one version of the configuration as a whole.

    :param accounts: None if the deployment has no client accounts
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ServiceName, Service] = {}
    limits: CallerLimits = CallerLimits()
    accounts: AccountTable | None = None


class RouteTable:
    """Find the route of a request."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in topology.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        routes = self._routes_by_host.get(host.lower(), [])
        return next((r for r in routes if path.startswith(r.prefix)), None)

    def routes_for_host(self, host: str) -> list[Route]:
        """Return all routes of a host."""
        return self._routes_by_host.get(host.lower(), [])


def choose_service(route: Route, choice: int) -> ServiceName:
    """Return the service of a request; `choice` is a hash of its id."""
    total = sum(weighted.weight for weighted in route.services)
    remaining = choice % max(1, total)
    for weighted in route.services:
        if remaining < weighted.weight:
            return weighted.service
        remaining -= weighted.weight
    return route.services[0].service
