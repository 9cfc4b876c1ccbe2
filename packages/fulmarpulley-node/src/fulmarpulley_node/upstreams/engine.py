"""Implement the protocol dialect of model engines."""

from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_schema.codec import from_json
from fulmarpulley_schema.generated.document import UpstreamEntry
from fulmarpulley_schema.generated.upstream import (
    CacheEvents,
    CancelRequest,
    EndEvent,
    GenerateRequest,
    LoadBody,
    OrderRefusal,
    OrderRequest,
    TokenEvent,
)

from .connection import CALL_TIMEOUT_S, AttemptFailure, Connection
from .dialects import (
    Attempt,
    AttemptEnd,
    OrderRefused,
    TokenSink,
    upstream_dialects,
)
from .event_stream import ServerEvent, StreamFormatError, read_events

T = TypeVar("T", bound=msgspec.Struct)

# Loading a version takes seconds; an order that takes longer has failed.
ORDER_TIMEOUT_S = 60.0


@upstream_dialects.register("engine")
class EngineDialect:
    """Own the connections to one engine."""

    def __init__(self, entry: UpstreamEntry) -> None:
        self.connection = Connection(entry.address)

    async def run(self, attempt: Attempt, sink: TokenSink) -> Result[None, AttemptEnd]:
        """Run an attempt and pass each new token to the sink."""
        body = GenerateRequest(
            request_id=attempt.request_id,
            model=attempt.model,
            prompt=attempt.prompt,
            prefix=attempt.prefix,
            max_tokens=attempt.max_tokens,
            priority=attempt.priority,
            resume_tokens=attempt.resume,
            seed=attempt.seed,
        )
        validator = StreamValidator(len(attempt.resume), sink)
        try:
            async with self.connection.post(
                "/v1/generate", body, attempt.stall_s
            ) as response:
                async for event in read_events(response.content.iter_any()):
                    validator.handle_event(event)
        except AttemptFailure as failure:
            return Err(failure.end)
        return validator.outcome()

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; ignore failures."""
        body = CancelRequest(request_id=request_id)
        try:
            async with self.connection.post(
                "/v1/cancel", body, CALL_TIMEOUT_S
            ) as response:
                await response.read()
        except AttemptFailure:
            return

    async def load(self) -> Result[LoadBody | None, str]:
        """Return the load."""
        return await self._read("/v1/load", LoadBody)

    async def cache_events(self, start: int) -> Result[CacheEvents | None, str]:
        """Return cache events from an offset on."""
        return await self._read(f"/v1/cache-events?from={start}", CacheEvents)

    async def order(self, order: OrderRequest) -> Result[None, OrderRefused]:
        """Send an order and wait until it is carried out."""
        try:
            response = await self.connection.send("/v1/orders", order, ORDER_TIMEOUT_S)
            async with response:
                body = await response.read()
        except AttemptFailure as failure:
            return Err(OrderRefused(failure.end.reason))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(OrderRefused(f"{type(error).__name__}: {error}"))
        if response.status == 200:
            return Ok(None)
        return Err(_order_refusal(response.status, body))

    async def close(self) -> None:
        """Close all connections."""
        await self.connection.close()

    async def _read(self, path: str, reply_type: type[T]) -> Result[T | None, str]:
        try:
            return Ok(from_json(await self.connection.get(path), reply_type))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.DecodeError,
            UnicodeError,
        ) as error:
            return Err(f"{type(error).__name__}: {error}")


class StreamValidator:
    """Check that the events of one stream form a complete response."""

    def __init__(self, resumed_tokens: int, sink: TokenSink) -> None:
        self.token_count = resumed_tokens
        self.sink = sink
        self.ended = False
        self.violation = ""

    def handle_event(self, event: ServerEvent) -> None:
        """Handle one event and keep the first protocol violation."""
        if self.violation or self.ended:
            self.violation = self.violation or "event after the end of the stream"
            return
        try:
            self._apply(event)
        except (msgspec.DecodeError, StreamFormatError) as error:
            self.violation = str(error)

    def outcome(self) -> Result[None, AttemptEnd]:
        """Return how the stream ended."""
        if self.violation:
            return Err(AttemptEnd(Failure.BROKEN, self.violation))
        if not self.ended:
            reason = (
                f"stream ended after {self.token_count} tokens without an end event"
            )
            return Err(AttemptEnd(Failure.BROKEN, reason))
        return Ok(None)

    def _apply(self, event: ServerEvent) -> None:
        if event.name == "token":
            token = from_json(event.data, TokenEvent)
            if token.index != self.token_count:
                message = f"received token {token.index}, expected {self.token_count}"
                raise StreamFormatError(message)
            self.token_count += 1
            self.sink(token.token, token.version)
        elif event.name == "end":
            end = from_json(event.data, EndEvent)
            if end.count != self.token_count:
                message = (
                    f"end event counts {end.count} tokens, expected {self.token_count}"
                )
                raise StreamFormatError(message)
            if end.reason == "cancelled":
                raise StreamFormatError("the engine cancelled the request")
            self.ended = True


def _order_refusal(status: int, body: bytes) -> OrderRefused:
    reason = f"engine answered the order with status {status}"
    try:
        newest = from_json(body, OrderRefusal).newest_fence
    except (msgspec.DecodeError, UnicodeError):
        return OrderRefused(reason)
    return OrderRefused(reason, newest)
