"""Define what a node needs from the platform it runs on."""

from collections.abc import Awaitable, Callable, Sequence
from enum import StrEnum
from typing import Protocol

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy
from result import Result

from fulmarpulley_core.ids import FenceNumber, ModelName, UpstreamId, Version
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.topology import Topology
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_schema.generated.steps import ItemSpec

# The status of an upstream that counts against an item; other errors come from an
# upstream in trouble and say nothing about the run.
ITEM_FAILURE_STATUS = 500


class StoreFailure(StrEnum):
    """Name why a call to the log failed; only after UNKNOWN it may have an effect."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    CONFLICT = "conflict"


class LogPage(msgspec.Struct, frozen=True):
    """Hold consecutive records from an offset on, and the end of the partition."""

    start: int
    records: list[bytes]
    end: int
    first: int


class Membership(msgspec.Struct, frozen=True):
    """Tell which partitions a member of a group owns."""

    generation: int
    partitions: frozenset[int]


class DurableLog(Protocol):
    """Append to and read from partitions, and share them out within a group."""

    async def append(
        self, topic: str, partition: int, records: Sequence[bytes]
    ) -> Result[int, StoreFailure]:
        """Append records all or nothing and return the offset of the first."""

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        wait_s: float,
        most_bytes: int = 0,
    ) -> Result[LogPage, StoreFailure]:
        """Read from an offset on, waiting for a record.

        :param most_bytes: about how much is read at most; 0 leaves it to the log
        """

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Result[Membership, StoreFailure]:
        """Join a group or stay in it."""

    async def leave(self, group: str, member: str) -> Result[None, StoreFailure]:
        """Leave a group."""

    async def close(self) -> None:
        """Close all connections."""


class DirectoryListener(Protocol):
    """Take what operators, trainers and upstreams publish."""

    def topology_changed(self, topology: Topology) -> None:
        """Take a version of the configuration."""

    def version_named(self, model: ModelName, version: Version) -> None:
        """Take a version of weights that a trainer named."""

    def upstream_put(self, entry: ListedUpstream) -> None:
        """Take the entry of an upstream."""

    def upstream_removed(self, upstream_id: UpstreamId) -> None:
        """Drop the entry of an upstream."""

    def upstreams_replaced(self, entries: list[ListedUpstream]) -> None:
        """Take the entries of all upstreams."""

    def store_lost(self, topic: str, reason: str) -> None:
        """Note that a topic cannot be read."""

    def store_regained(self, topic: str, outage_s: float) -> None:
        """Note that a topic can be read again."""


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a caller's request; `target` is the path and query as they were sent."""

    request_id: str
    method: str
    target: str
    host: str
    headers: CIMultiDictProxy[str]
    body: bytes
    deadline: float | None


class UpstreamResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the whole answer of an upstream, and its signature if it has one."""

    status: int
    signature: str = ""
    headers: CIMultiDict[str]
    body: bytes


class UpstreamCallFailure(msgspec.Struct, frozen=True):
    """Tell how a call to an upstream failed."""

    failure: Failure
    reason: str
    status: int | None = None
    version: int | None = None


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an order; the permit is asked for right before it is sent."""

    model: ModelName
    version: Version
    fence: FenceNumber
    permit: Callable[[], Awaitable[bool]]


EventSink = Callable[[bytes, int], None]


class UpstreamCalls(Protocol):
    """Call upstreams and own the connections to them."""

    async def forward(
        self, upstream: ListedUpstream, request: CallerRequest, timeout_s: float
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        """Run a plain request."""

    async def generate(
        self,
        upstream: ListedUpstream,
        host: str,
        item: ItemSpec,
        resume_after: int,
        min_version: int,
        sink: EventSink,
    ) -> Result[None, UpstreamCallFailure]:
        """Run an item from an event on and pass each event with its version."""

    async def load_version(
        self, upstream: ListedUpstream, order: LoadOrder
    ) -> Result[None, str]:
        """Order an engine to load a version and wait as long as that takes."""

    async def close(self) -> None:
        """Close all connections."""
