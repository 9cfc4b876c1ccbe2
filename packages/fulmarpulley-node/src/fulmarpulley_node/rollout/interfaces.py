"""Define the interfaces between a node and the platform it runs on."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy
from result import Result

from fulmarpulley_core.ids import (
    AccountName,
    DataCentre,
    FenceNumber,
    ItemId,
    ModelName,
    ServiceName,
    UpstreamId,
    Version,
)
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.topology import Topology
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_schema.generated.steps import ItemSpec

# Upstream status that counts as a failed try of the item; other errors indicate a
# faulty upstream and say nothing about the item.
ITEM_FAILURE_STATUS = 500


class ConnectionFault(StrEnum):
    """Name what happened to the connection of a failed call to an upstream.

    With LOST it ended under the request, with REFUSED the upstream did not accept it.
    """

    LOST = "lost"
    REFUSED = "refused"


class StoreFailure(StrEnum):
    """Classify failed calls to the log; only an UNKNOWN one may have taken effect."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    CONFLICT = "conflict"


class LogPage(msgspec.Struct, frozen=True):
    """Hold consecutive records, and the first and end offset of the partition."""

    start: int
    records: list[bytes]
    end: int
    first: int


class Membership(msgspec.Struct, frozen=True):
    """Describe the partitions that a member of a group owns in a generation."""

    generation: int
    partitions: frozenset[int]


class PartitionOwner(NamedTuple):
    """Name the member of a group that owns a partition."""

    partition: int
    member: str


class DurableLog(Protocol):
    """Append to and read from partitions, and assign them to the members of a group."""

    async def append(
        self, topic: str, partition: int, records: Sequence[bytes]
    ) -> Result[int, StoreFailure]:
        """Append records atomically and return the offset of the first."""

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        wait_s: float,
        max_bytes: int = 0,
    ) -> Result[LogPage, StoreFailure]:
        """Read from an offset on, waiting up to `wait_s` for a record.

        :param max_bytes: approximate limit of the read; 0 for the log's default
        """

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Result[Membership, StoreFailure]:
        """Join a group, or renew the membership in it."""

    async def leave(self, group: str, member: str) -> Result[None, StoreFailure]:
        """Leave a group."""

    async def owners(
        self, group: str, topic: str
    ) -> Result[list[PartitionOwner], StoreFailure]:
        """List the partitions of a topic that members of a group own."""

    async def close(self) -> None:
        """Close all connections."""


class KeyedValue(NamedTuple):
    """Hold the value to write for a key; an empty one deletes the key."""

    key: str
    value: bytes


class KeyedLog(Protocol):
    """Write to topics that keep the newest value of each key."""

    async def put(
        self, topic: str, values: Sequence[KeyedValue]
    ) -> Result[int, StoreFailure]:
        """Write values atomically and return the offset of the first."""


class TopicListener(Protocol):
    """Receive outages of a topic."""

    def store_lost(self, topic: str, reason: str) -> None:
        """Handle the start of an outage of a topic."""

    def store_regained(self, topic: str, outage_s: float) -> None:
        """Handle the end of an outage of a topic."""


class KeyedRecordHandler(TopicListener, Protocol):
    """Handle the records of a topic that keeps the newest value of each key."""

    def handle_record(self, key: str, value: bytes | None) -> None:
        """Handle a record; None stands for a deleted key."""


class DirectoryListener(TopicListener, Protocol):
    """Receive what operators, trainers and upstreams publish."""

    def topology_changed(self, topology: Topology) -> None:
        """Handle a version of the configuration."""

    def operator_records_read(self, read_at_s: float) -> None:
        """Handle that all configurations written before a time are known.

        :param read_at_s: seconds of the clock that counts suspended time
        """

    def version_announced(self, model: ModelName, version: Version) -> None:
        """Handle a weight version that a trainer announced."""

    def upstream_put(self, entry: ListedUpstream) -> None:
        """Handle a new or updated upstream entry."""

    def upstream_removed(self, upstream_id: UpstreamId) -> None:
        """Handle the removal of an upstream entry."""

    def upstreams_replaced(self, entries: list[ListedUpstream]) -> None:
        """Handle a full list of upstream entries."""


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a caller's request; `target` is the unmodified path and query.

    :param caller: what identifies the caller; empty if nothing does
    :param account: client account of the caller; empty if the deployment has none
    :param priority: that of the account, before the route's; 0 is the most urgent
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: CIMultiDictProxy[str]
    body: bytes
    deadline: float | None
    caller: str = ""
    account: AccountName = AccountName("")
    priority: int | None = None


class UpstreamResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a complete upstream response, and its signature if it has one.

    The memory of its body counts as used for as long as something refers to the lease.
    """

    status: int
    signature: str = ""
    headers: CIMultiDict[str]
    body: bytes | bytearray
    lease: object = None


class UpstreamCallFailure(msgspec.Struct, frozen=True):
    """Describe how a call to an upstream failed."""

    failure: Failure
    reason: str
    status: int | None = None
    version: int | None = None
    retry_after_s: float | None = None
    connection: ConnectionFault | None = None


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an order to load a version; `permit` is checked right before sending."""

    model: ModelName
    version: Version
    fence: FenceNumber
    permit: Callable[[], Awaitable[bool]]


class DutyFailure(StrEnum):
    """Classify failed duty calls; only an UNKNOWN one may have taken effect."""

    FENCED = "fenced"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class DutyCalls(Protocol):
    """Make the calls to the platform that are the duty of one node at a time."""

    async def report_usage(
        self, window: int, counts: Mapping[AccountName, int], fence: FenceNumber
    ) -> Result[None, DutyFailure]:
        """Report how many requests of each account began in a window."""

    async def order_upstreams(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        count: int,
        spot: bool,
        fence: FenceNumber,
    ) -> Result[None, DutyFailure]:
        """Order the number of upstreams that a service has in a data centre."""


EventSink = Callable[[bytes, int], None]


class UpstreamCalls(Protocol):
    """Call upstreams and own the connections to them."""

    async def forward(
        self, upstream: ListedUpstream, request: CallerRequest, timeout_s: float
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        """Execute a plain request."""

    async def generate(
        self,
        upstream: ListedUpstream,
        host: str,
        item: ItemSpec,
        resume_after: int,
        min_version: int,
        sink: EventSink,
        account: AccountName | None = None,
    ) -> Result[None, UpstreamCallFailure]:
        """Generate an item, passing each event and its version to `sink`.

        :param resume_after: number of events that the item already has
        :param account: that of the item's step, empty if it has none; None if the
            deployment has no accounts
        """

    async def refuses_connections(self, upstream: ListedUpstream) -> bool:
        """Tell whether an upstream refuses a new connection."""

    async def running_requests(
        self, upstream: ListedUpstream
    ) -> Result[list[ItemId], str]:
        """Return the ids of the requests that an engine ran some hundred ms ago."""

    async def load_version(
        self, upstream: ListedUpstream, order: LoadOrder
    ) -> Result[None, str]:
        """Order an engine to load a version and wait until it has done so."""

    async def close(self) -> None:
        """Close all connections."""
