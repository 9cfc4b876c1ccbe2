"""Convert the operator's configuration."""

from fulmarpulley_core.ids import AccountName, ModelName, RouteName, ServiceName
from fulmarpulley_core.rollout.accounts import (
    Account,
    AccountTable,
    ListedAccount,
    digest_of,
    is_usable_key,
    is_usable_name,
)
from fulmarpulley_core.rollout.topology import (
    CallerLimits,
    EngineLimits,
    Route,
    RouteKind,
    Service,
    Topology,
    WeightedService,
)

from ..observe.events import log_event
from . import wire
from .scaling_messages import to_scaling

# A faulty configuration may have any number of faulty accounts.
MAX_LOGGED_ACCOUNTS = 10


def to_topology(entry: wire.ConfigEntry) -> Topology:
    """Convert a configuration; raise ValueError for an invalid route."""
    limits = entry.limits
    return Topology(
        version=entry.version,
        routes=tuple(_to_route(route) for route in entry.routes),
        services={
            ServiceName(service.name): _to_service(service)
            for service in entry.services
        },
        limits=CallerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
        ),
        accounts=None if entry.tenants is None else _to_accounts(entry),
    )


def _to_route(entry: wire.RouteEntry) -> Route:
    if entry.service is not None:
        parts = [WeightedService(ServiceName(entry.service), 1)]
    else:
        parts = [WeightedService(ServiceName(p.service), p.weight) for p in entry.split]
    if not parts:
        raise ValueError(f"route {entry.name} names no service")
    return Route(
        name=RouteName(entry.name),
        host=entry.host,
        prefix=entry.prefix,
        kind=RouteKind(entry.kind),
        services=tuple(parts),
        timeout_s=entry.timeout_ms / 1000,
        target_s=entry.target_ms / 1000,
        priority=entry.priority,
        attempts=max(1, entry.max_attempts),
        resumable=entry.resumable,
        single_version=entry.single_version,
        retention_s=entry.retention_s,
        result_deadline_s=entry.result_deadline_ms / 1000,
        anonymous=entry.anonymous,
    )


def _to_service(entry: wire.ServiceEntry) -> Service:
    engine = entry.engine
    limits = None
    if engine is not None:
        limits = EngineLimits(
            slots=engine.slots,
            cache_tokens=engine.cache_tokens,
            tokens_per_event=max(1, engine.stride),
            models=tuple(ModelName(model.name) for model in engine.models),
        )
    return Service(
        name=ServiceName(entry.name),
        connection_limit=entry.connection_limit,
        engine=limits,
        scaling=to_scaling(entry),
    )


def _to_accounts(entry: wire.ConfigEntry) -> AccountTable:
    """Convert the accounts; log those with keys that cannot be used."""
    listed = []
    unusable = []
    for account in entry.tenants or []:
        digests = tuple(digest_of(key) for key in account.keys if is_usable_key(key))
        if not is_usable_name(account.name):
            unusable.append((account.name, len(account.keys)))
            continue
        if len(digests) < len(account.keys):
            unusable.append((account.name, len(account.keys) - len(digests)))
        name = AccountName(account.name)
        listed.append(ListedAccount(Account(name, account.priority), digests))
    table = AccountTable(listed)
    for account_name, keys in unusable[:MAX_LOGGED_ACCOUNTS]:
        log_event(
            "account_keys_unusable",
            config=entry.version,
            account=account_name,
            keys=keys,
        )
    for names in table.shared[:MAX_LOGGED_ACCOUNTS]:
        log_event("account_keys_shared", config=entry.version, accounts=",".join(names))
    return table
