"""Implement the dialect of plain services, which respond with one result."""

import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_schema.codec import from_json
from fulmarpulley_schema.generated.document import UpstreamEntry
from fulmarpulley_schema.generated.upstream import (
    CacheEvents,
    LoadBody,
    OrderRequest,
    PlainCall,
    PlainResult,
)

from .connection import AttemptFailure, Connection
from .dialects import (
    Attempt,
    AttemptEnd,
    OrderRefused,
    TokenSink,
    upstream_dialects,
)


@upstream_dialects.register("plain")
class PlainDialect:
    """Own the connections to one plain service."""

    def __init__(self, entry: UpstreamEntry) -> None:
        # If the service closes an idle connection just as a call is written, the call
        # may or may not have run, and many of these calls must not be repeated.
        self.connection = Connection(entry.address, keep_alive=False)

    async def run(self, attempt: Attempt, sink: TokenSink) -> Result[None, AttemptEnd]:
        """Make one call and pass its result to the sink as a single token."""
        body = PlainCall(key=attempt.key, body=attempt.prompt)
        try:
            async with self.connection.post(
                "/v1/call", body, attempt.stall_s
            ) as response:
                result = from_json(await response.read(), PlainResult)
        except AttemptFailure as failure:
            return Err(failure.end)
        except (msgspec.DecodeError, UnicodeError) as error:
            return Err(AttemptEnd(Failure.BROKEN, f"invalid response body: {error}"))
        sink(result.result, None)
        return Ok(None)

    async def cancel(self, request_id: str) -> None:
        """Do nothing; a plain service cannot stop a call."""

    async def load(self) -> Result[LoadBody | None, str]:
        """Return None; a plain service reports no load."""
        return Ok(None)

    async def cache_events(self, start: int) -> Result[CacheEvents | None, str]:
        """Return None; a plain service has no prefix cache."""
        return Ok(None)

    async def order(self, order: OrderRequest) -> Result[None, OrderRefused]:
        """Return a refusal; a plain service takes no orders."""
        return Err(OrderRefused("a plain service takes no orders"))

    async def close(self) -> None:
        """Close all connections."""
        await self.connection.close()
