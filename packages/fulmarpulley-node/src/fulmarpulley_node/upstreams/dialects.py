"""Define the interface of an upstream to a pool home."""

from collections.abc import Callable
from typing import Protocol

import msgspec
from result import Result

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.registry import Registry
from fulmarpulley_schema.generated.document import UpstreamEntry
from fulmarpulley_schema.generated.upstream import CacheEvents, LoadBody, OrderRequest

TokenSink = Callable[[str, int | None], None]


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one run of a request at an upstream; retries share the key."""

    request_id: str
    key: str
    model: str
    prompt: str
    prefix: str
    max_tokens: int
    priority: int
    seed: int
    stall_s: float
    resume: list[str] = []


class AttemptEnd(msgspec.Struct, frozen=True):
    """Describe how an attempt failed."""

    failure: Failure
    reason: str
    retry_after_s: float | None = None


class OrderRefused(msgspec.Struct, frozen=True):
    """Describe why an upstream did not carry out an order."""

    reason: str
    newest_fence: int | None = None


class UpstreamDialect(Protocol):
    """Implement the protocol of one upstream and own its connections."""

    async def run(self, attempt: Attempt, sink: TokenSink) -> Result[None, AttemptEnd]:
        """Run an attempt and pass each new token to the sink."""

    async def cancel(self, request_id: str) -> None:
        """Ask the upstream to stop a request; ignore failures."""

    async def load(self) -> Result[LoadBody | None, str]:
        """Return the load, or None if the upstream does not report it."""

    async def cache_events(self, start: int) -> Result[CacheEvents | None, str]:
        """Return cache events from an offset on, or None if it has no cache."""

    async def order(self, order: OrderRequest) -> Result[None, OrderRefused]:
        """Send an order and wait until it is carried out."""

    async def close(self) -> None:
        """Close all connections."""


upstream_dialects: Registry[Callable[[UpstreamEntry], UpstreamDialect]] = Registry(
    "upstream dialect"
)
