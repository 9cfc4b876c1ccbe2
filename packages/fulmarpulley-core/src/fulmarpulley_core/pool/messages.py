"""Define the work, events and actions of a pool."""

from enum import StrEnum

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran, Span

from ..ids import (
    AccountName,
    AttemptId,
    ModelName,
    OrderId,
    PrefixId,
    Region,
    StepNumber,
    TenantId,
    UpstreamId,
    Version,
    WorkId,
)

# Code of refused work that must not be sent to any upstream.
CRASHES_UPSTREAMS = "crashes_upstreams"
# Code of refused work that would not end before the node stops.
STOPPING = "stopping"


def urgency(priority: int) -> int:
    """Return the priority of work, 9 the most urgent, for one of 0, the most urgent."""
    return max(0, min(9, 9 - priority))


class WorkKind(StrEnum):
    """Name the kind of a work item."""

    SAMPLE = "sample"
    DESK = "desk"


class Failure(StrEnum):
    """Name how an attempt failed, by what the upstream may have done.

    A RATE_LIMITED attempt was not sent, to keep to the upstream's rate limit. A
    WITHHELD one was not sent, since its work crashes upstreams.
    """

    NOT_SENT = "not_sent"
    RATE_LIMITED = "rate_limited"
    WITHHELD = "withheld"
    REFUSED = "refused"
    BROKEN = "broken"
    ERRORED = "errored"


class StartReason(StrEnum):
    """Name why an attempt starts.

    A QUEUED item had its turn. A HEDGE runs beside a slow attempt, one for a
    SLOW_ENGINE beside an attempt whose next event is overdue.
    """

    QUEUED = "queued"
    HEDGE = "hedge"
    SLOW_ENGINE = "slow_engine"


class Availability(StrEnum):
    """Name whether an upstream accepts new attempts, and why not."""

    AVAILABLE = "available"
    DRAINING = "draining"
    LEAVING = "leaving"
    EJECTED = "ejected"
    GONE = "gone"


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one unit of work; times are monotonic seconds of the pool home.

    `oldest_version` is that of the `resume_tokens`, which the owner already has. The
    samples of a step start in order of `rank`, then `group`; desk requests of one
    priority in order of `rank`. `length_hint` estimates the generated tokens; it is
    zero without an estimate. `max_attempts` further limits the attempts that may have
    run. Work that does not stream has no tokens before its end, whatever upstream runs
    it. Desk work of an `account` takes turns with that of other accounts, else it is
    shared by `tenant`; `account_priority`, from 0 to 9, the most urgent, ranks it in
    place of the tenant's class. The results of a step are `due` at a time, from which
    moves of its long runs follow; it ends nothing.
    """

    work_id: WorkId
    tenant: TenantId
    kind: WorkKind
    model: ModelName
    max_tokens: int
    prompt_tokens: int = 1
    min_version: Version = Version(0)
    staleness_bound: int | None = None
    prefix: PrefixId = PrefixId("")
    region: Region = Region("")
    repeatable: bool = True
    max_attempts: int | None = None
    streams: bool = True
    priority: int = 5
    deadline: float | None = None
    step: StepNumber = StepNumber(0)
    group: int = 0
    rank: int = 0
    length_hint: int = 0
    resume_tokens: int = 0
    oldest_version: Version | None = None
    account: AccountName = AccountName("")
    account_priority: int | None = None
    due: float | None = None


class Submit(msgspec.Struct, frozen=True):
    """Queue a work item; a repeated work_id has no effect."""

    work: Work


class Withdraw(msgspec.Struct, frozen=True):
    """End a work item, together with its attempts."""

    work_id: WorkId
    code: str = "cancelled"
    retry_after: float | None = None


class AttemptProgress(msgspec.Struct, frozen=True):
    """Report the received tokens, including those resumed after, and their version."""

    attempt_id: AttemptId
    tokens: int
    version: Version | None = None


class AttemptFinished(msgspec.Struct, frozen=True):
    """Report a complete answer."""

    attempt_id: AttemptId
    tokens: int
    spans: list[Span] = []


class AttemptFailed(msgspec.Struct, frozen=True):
    """Report a failed attempt and the tokens received before the failure."""

    attempt_id: AttemptId
    failure: Failure
    tokens: int = 0
    retry_after: float | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Carry the load of an upstream as it was `age` seconds ago."""

    upstream: UpstreamId
    running: int
    queued: int
    cache_used: int = 0
    age: float = 0.0


class CacheReport(msgspec.Struct, frozen=True):
    """Carry a delayed, possibly incomplete hint on cached prefixes."""

    upstream: UpstreamId
    added: list[PrefixId] = []
    removed: list[PrefixId] = []


class VersionReport(msgspec.Struct, frozen=True):
    """Report the version of a model that an upstream serves."""

    upstream: UpstreamId
    model: ModelName
    version: Version


class LimitReport(msgspec.Struct, frozen=True):
    """Report whether a response of an upstream stated a rate limit."""

    upstream: UpstreamId
    limited: bool


class UpstreamState(msgspec.Struct, frozen=True):
    """Report an upstream's availability from the instance list or its own signal."""

    upstream: UpstreamId
    availability: Availability


class VersionAnnounced(msgspec.Struct, frozen=True):
    """Report a new version that a trainer published."""

    model: ModelName
    version: Version


class OrderFinished(msgspec.Struct, frozen=True):
    """Report the end of a load order.

    With `retry_after`, the order was not sent and is due again after these seconds.
    """

    order_id: OrderId
    ok: bool
    retry_after: float | None = None


class DocumentChanged(msgspec.Struct, frozen=True):
    """Apply a new document."""

    document: ServiceDocument


class StopAt(msgspec.Struct, frozen=True):
    """End all desk requests before a time, at which the node stops."""

    at: float


class Tick(msgspec.Struct, frozen=True):
    """Run the timers that are due."""


Event = (
    Submit
    | Withdraw
    | AttemptProgress
    | AttemptFinished
    | AttemptFailed
    | LoadReport
    | CacheReport
    | VersionReport
    | LimitReport
    | UpstreamState
    | VersionAnnounced
    | OrderFinished
    | DocumentChanged
    | StopAt
    | Tick
)


class StartAttempt(msgspec.Struct, frozen=True):
    """Send a work item to an upstream, resuming after `resume_from` tokens.

    Zero means that tokens received before are discarded.
    """

    attempt_id: AttemptId
    work_id: WorkId
    upstream: UpstreamId
    resume_from: int = 0
    hedge: bool = False


class CancelAttempt(msgspec.Struct, frozen=True):
    """Cancel an attempt at its upstream."""

    attempt_id: AttemptId


class Order(msgspec.Struct, frozen=True):
    """Order an upstream to load a version, from the store or another upstream."""

    order_id: OrderId
    upstream: UpstreamId
    model: ModelName
    version: Version
    source: UpstreamId | None = None


class Finish(msgspec.Struct, frozen=True):
    """Return the answer of an attempt to the owner of the work item."""

    work_id: WorkId
    attempt_id: AttemptId


class Refuse(msgspec.Struct, frozen=True):
    """Tell the owner that a work item ends without an answer."""

    work_id: WorkId
    code: str
    ran: Ran
    retry_after: float | None = None


Action = StartAttempt | CancelAttempt | Order | Finish | Refuse


class PoolSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Configure the policies of a pool, the region of its weight store and its ids.

    `id_prefix` must differ between homes of the same upstreams and between restarts of
    a home, so that none cancels an attempt of another. With `refuse_while_loading`,
    engines refuse work of a model while they load it. With `split_models`, each engine
    serves few of the models. With `avoid_limited`, upstreams that limit their rate get
    only the work that others have no room for.
    """

    routing: str = "least_tokens"
    refuse_while_loading: bool = False
    split_models: bool = False
    avoid_limited: bool = False
    store_region: Region = Region("")
    id_prefix: str = ""


class UpstreamView(msgspec.Struct, frozen=True):
    """Show the state of one upstream."""

    upstream: UpstreamId
    availability: Availability
    in_flight: int
    tokens_in_flight: int
    versions: dict[ModelName, Version]


class PoolView(msgspec.Struct, frozen=True):
    """Show the state of a pool."""

    queued: int
    in_flight: int
    upstreams: list[UpstreamView]
