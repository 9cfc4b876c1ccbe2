"""Define the platform's messages.

The attribute of a field has the node's name for it; `msgspec.field(name=...)` gives its
wire name.
"""

from collections.abc import Mapping
from typing import Annotated

import msgspec

from fulmarpulley_core.ids import AccountName

# The range of numbers that can be written to the log. Larger ones are valid JSON, and
# other writers may leave some.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
# An entry with more slots would have a pool admit work that no other upstream can take.
Slots = Annotated[int, msgspec.Meta(ge=0, le=2**16 - 1)]


class AppendedReply(msgspec.Struct):
    """Acknowledge an append."""

    first_offset: Int64 = msgspec.field(name="Offset")


class ExpiredReply(msgspec.Struct):
    """Answer a read of records that are past their retention."""

    first_offset: Int64 = msgspec.field(name="First")


class KeyedItem(msgspec.Struct):
    """Hold the newest record of a key."""

    key: str = msgspec.field(name="Key")
    value: bytes = msgspec.field(name="Value")
    offset: int = msgspec.field(name="Offset", default=0)


class NewestReply(msgspec.Struct):
    """Hold a page of the newest record of each key."""

    # Instances of KeyedItem, but other writers may leave odd ones.
    items: list[msgspec.Raw] = msgspec.field(name="Items")
    has_more: bool = msgspec.field(name="HasMore")
    end: Int64 = msgspec.field(name="End")


class JoinRequest(msgspec.Struct):
    """Join a group, or renew a membership."""

    group: str = msgspec.field(name="Group")
    member: str = msgspec.field(name="Member")
    topics: list[str] = msgspec.field(name="Topics")
    ttl_ms: int = msgspec.field(name="TtlMs")
    generation: int = msgspec.field(name="Generation")


class JoinReply(msgspec.Struct):
    """List the partitions of a member; a row has topic, partition and offset."""

    generation: Int64 = msgspec.field(name="Generation")
    rows: list[tuple[str, int, int]] = msgspec.field(name="parts", default=[])


class LeaveRequest(msgspec.Struct):
    """Leave a group."""

    group: str = msgspec.field(name="Group")
    member: str = msgspec.field(name="Member")


class ModelEntry(msgspec.Struct):
    """Name the version of a model that a worker serves."""

    name: str = msgspec.field(name="Name")
    version: Int64 = msgspec.field(name="Version", default=0)


class ServerEntry(msgspec.Struct):
    """Hold the registration of a worker."""

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Address")
    zone: str = msgspec.field(name="Zone")
    state: str = msgspec.field(name="State")
    slots: Slots = msgspec.field(name="Slots", default=0)
    models: list[ModelEntry] = msgspec.field(name="Models", default=[])
    # Start of the worker's process, in Unix milliseconds.
    started_ms: Int64 = msgspec.field(name="born", default=0)
    # A boolean and a number; an odd value must not take the worker out of use.
    spot: msgspec.Raw = msgspec.field(name="Spot", default=msgspec.Raw(b"false"))
    leaves_ms: msgspec.Raw = msgspec.field(
        name="leaves_ms", default=msgspec.Raw(b"null")
    )


class SplitPart(msgspec.Struct):
    """Give a service its share of a route's traffic."""

    service: str = msgspec.field(name="Service")
    weight: Int64 = msgspec.field(name="Weight")


class RouteEntry(msgspec.Struct):
    """Describe a route of the operator's configuration."""

    name: str = msgspec.field(name="Name")
    host: str = msgspec.field(name="Host")
    prefix: str = msgspec.field(name="PathPrefix")
    kind: str = msgspec.field(name="RouteKind")
    service: str | None = msgspec.field(name="Service", default=None)
    split: list[SplitPart] = msgspec.field(name="TrafficSplit", default=[])
    timeout_ms: float = msgspec.field(name="TimeoutMs", default=30_000.0)
    target_ms: float = msgspec.field(name="TargetLatencyMs", default=0.0)
    priority: Int64 = msgspec.field(name="Priority", default=5)
    max_attempts: Int64 = msgspec.field(name="MaxAttempts", default=1)
    resumable: bool = msgspec.field(name="Resumable", default=False)
    single_version: bool = msgspec.field(name="SingleVersion", default=False)
    retention_s: float = msgspec.field(name="RetentionS", default=0.0)
    result_deadline_ms: float = msgspec.field(name="ResultDeadlineMs", default=0.0)
    anonymous: bool = msgspec.field(name="AllowAnonymous", default=False)


class EngineModel(msgspec.Struct):
    """Name a model."""

    name: str = msgspec.field(name="Name")


class EngineEntry(msgspec.Struct):
    """Describe the model engines of a service."""

    slots: Int64 = msgspec.field(name="Slots", default=1)
    cache_tokens: Int64 = msgspec.field(name="KvCacheTokens", default=65536)
    # Tokens in each event of a stream.
    stride: Int64 = msgspec.field(name="Stride", default=1)
    models: list[EngineModel] = msgspec.field(name="Models", default=[])


class ScalingEntry(msgspec.Struct):
    """Bound the workers of a service in each zone, and give their prices."""

    minimum: Int64 = msgspec.field(name="Min")
    maximum: Int64 = msgspec.field(name="Max")
    boot_s: float = msgspec.field(name="BootS")
    spot_price: float = msgspec.field(name="SpotPrice", default=1.0)
    zone_prices: dict[str, float] = msgspec.field(
        name="ZonePrices", default_factory=dict
    )


class ServiceEntry(msgspec.Struct):
    """Describe a service of the operator's configuration."""

    name: str = msgspec.field(name="Name")
    connection_limit: Int64 = msgspec.field(name="ConnectionLimit", default=0)
    engine: EngineEntry | None = msgspec.field(name="Engine", default=None)
    # An instance of ScalingEntry; an odd one must not make the rest unreadable.
    scaling: msgspec.Raw = msgspec.field(name="Scaling", default=msgspec.Raw(b"null"))


class LimitsEntry(msgspec.Struct):
    """Limit the size of client requests and how long clients may stay idle."""

    header_bytes: Int64 = msgspec.field(name="MaxHeaderBytes", default=16384)
    body_bytes: Int64 = msgspec.field(name="MaxBodyBytes", default=33554432)
    header_timeout_ms: float = msgspec.field(name="HeaderTimeoutMs", default=3000.0)
    idle_timeout_ms: float = msgspec.field(name="IdleTimeoutMs", default=15000.0)


class TenantEntry(msgspec.Struct):
    """Describe a client account."""

    name: str = msgspec.field(name="Name")
    keys: list[str] = msgspec.field(name="ApiKeys", default=[])
    priority: Int64 | None = msgspec.field(name="Priority", default=None)


class ConfigEntry(msgspec.Struct):
    """Hold a version of the operator's configuration."""

    version: Int64 = msgspec.field(name="Version")
    routes: list[RouteEntry] = msgspec.field(name="Routes")
    services: list[ServiceEntry] = msgspec.field(name="Services")
    limits: LimitsEntry = msgspec.field(name="Limits", default_factory=LimitsEntry)
    # None if the deployment has no client accounts.
    tenants: list[TenantEntry] | None = msgspec.field(name="Tenants", default=None)


class VersionEntry(msgspec.Struct):
    """Announce a version of a model's weights by its trainer."""

    model: str = msgspec.field(name="Model")
    version: Int64 = msgspec.field(name="Version")


class RunEntry(msgspec.Struct, array_like=True):
    """Name a request that a worker runs; the further elements are not needed."""

    request_id: str = msgspec.field(name="Id")


class ReportReply(msgspec.Struct):
    """Report the state of a worker as of a few hundred milliseconds ago."""

    models: list[ModelEntry] = msgspec.field(name="Models", default=[])
    # Orders that the worker has accepted since its start.
    orders: Int64 = msgspec.field(name="Sequence", default=0)
    # Instances of RunEntry; odd ones must not make the rest unreadable.
    runs: msgspec.Raw = msgspec.field(name="Runs", default=msgspec.Raw(b"null"))


class VersionOrder(msgspec.Struct):
    """Order a worker to load a version of a model."""

    model: str = msgspec.field(name="Model")
    version: int = msgspec.field(name="Version")
    switch_mode: str = msgspec.field(name="SwitchMode")
    holder: str = msgspec.field(name="Holder")
    fence: int = msgspec.field(name="FencingToken")
    # The worker rejects the order unless it has accepted exactly this many before, so
    # that a delayed order has no effect.
    expected_orders: int = msgspec.field(name="Precondition")
    operation: str = msgspec.field(name="Operation", default="Version")


class RewardEntry(msgspec.Struct):
    """Describe the call that scores an item's text; the body is base64."""

    request_id: str = msgspec.field(name="Id")
    host: str = msgspec.field(name="Host")
    path: str = msgspec.field(name="Path")
    body: bytes = msgspec.field(name="Body", default=b"")


class ItemEntry(msgspec.Struct):
    """Describe an item of a submission; the body is base64."""

    item_id: str = msgspec.field(name="Id")
    path: str = msgspec.field(name="Path")
    headers: dict[str, str] = msgspec.field(name="Headers", default={})
    body: bytes = msgspec.field(name="Body", default=b"")
    # Sum of the prompt tokens and the output token limit.
    tokens: Int64 = msgspec.field(name="Tokens", default=0)
    group: str = msgspec.field(name="Group", default="")
    # Has no address; the call is routed by its host and path.
    reward: RewardEntry | None = msgspec.field(name="ScoringEndpoint", default=None)


class Submission(msgspec.Struct):
    """Hold a submitted step."""

    items: list[ItemEntry] = msgspec.field(name="Items")
    number: Int64 = msgspec.field(name="Step", default=0)
    model: str = msgspec.field(name="Model", default="")
    min_version: Int64 = msgspec.field(name="MinVersion", default=0)
    target_groups: Int64 = msgspec.field(name="TargetGroups", default=0)


class ResultEntry(msgspec.Struct, omit_defaults=True):
    """Hold the result of an item."""

    item_id: str = msgspec.field(name="Id")
    state: str = msgspec.field(name="State")
    text: str = msgspec.field(name="Text")
    versions: list[int] | None = msgspec.field(name="Versions", default=None)
    # Signature of the response to the item's reward call; not a number.
    score: str | None = msgspec.field(name="Score", default=None)


class ResultsReply(msgspec.Struct):
    """Hold a page of results and the position of the next one."""

    total: int = msgspec.field(name="Total")
    next_position: int = msgspec.field(name="Next")
    results: list[ResultEntry] = msgspec.field(name="Results")


class UsageReportBody(msgspec.Struct):
    """Report the requests of each account that began to run in a window."""

    window: int = msgspec.field(name="Window")
    counts: Mapping[AccountName, int] = msgspec.field(name="Counts")


class ScalingOrder(msgspec.Struct, omit_defaults=True):
    """Order the number of upstreams of a service in a data centre."""

    service: str = msgspec.field(name="Service")
    zone: str = msgspec.field(name="Zone")
    count: int = msgspec.field(name="TargetGroups")
    spot: bool = msgspec.field(name="Spot", default=False)
