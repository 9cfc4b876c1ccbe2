"""Read requests and write responses of the HTTP APIs."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web
from result import Err

from fulmarpulley_schema.codec import parse, to_json
from fulmarpulley_schema.generated.http import Finding, Ran

from .errors import ErrorCode, RequestError, error
from .observe.events import log_event

T = TypeVar("T", bound=msgspec.Struct)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

# Equal to the limit of messages between nodes, which carry these bodies.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Larger bodies are validated in a thread: validating a step of 2048 groups takes
# 136 ms, during which the event loop could not reply to probes.
THREAD_BODY_BYTES = 64 * 1024


async def read_body(
    request: web.Request, body_type: type[T], limit: int = MAX_BODY_BYTES
) -> T:
    """Decode a body, or raise RequestError with all validation errors."""
    data = await _read_bytes(request, limit)
    if len(data) > THREAD_BODY_BYTES:
        parsed = await asyncio.to_thread(parse, data, body_type)
    else:
        parsed = parse(data, body_type)
    if isinstance(parsed, Err):
        findings = parsed.err_value
        message = f"the body has {len(findings)} errors; see findings"
        raise error(ErrorCode.BAD_REQUEST, message, findings=findings)
    if b"\\ud" in data.lower():
        _check_encodable(parsed.ok_value)
    return parsed.ok_value


def _check_encodable(message: msgspec.Struct) -> None:
    # JSON can contain an escaped lone surrogate, which UTF-8 cannot encode, so the
    # body could not be sent to other nodes.
    try:
        to_json(message)
    except UnicodeEncodeError as exception:
        message_text = (
            f"the body contains text that is not valid Unicode: {exception.reason}"
        )
        findings = [Finding(path="$", message=message_text)]
        raise error(
            ErrorCode.BAD_REQUEST, message_text, findings=findings
        ) from exception


async def _read_bytes(request: web.Request, limit: int) -> bytes:
    too_large = f"the body is larger than {limit} bytes"
    if request.content_length is not None and request.content_length > limit:
        raise error(ErrorCode.TOO_LARGE, too_large)
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise error(ErrorCode.TOO_LARGE, too_large)
        chunks.append(chunk)
    return b"".join(chunks)


def json_response(message: Any, status: int = 200) -> web.Response:
    """Build a response with a message as JSON."""
    return web.Response(
        body=to_json(message), status=status, content_type="application/json"
    )


def error_response(failure: RequestError) -> web.Response:
    """Build the response for an error, with Retry-After if it has a retry time."""
    response = json_response(failure.body(), failure.status)
    retry_after = failure.refusal.retry_after_s
    if retry_after is not None:
        response.headers["Retry-After"] = str(max(1, round(retry_after)))
    return response


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Convert exceptions of handlers to error responses."""
    try:
        return await handler(request)
    except RequestError as failure:
        return error_response(failure)
    except web.HTTPException as http_error:
        message = f"{request.method} {request.path}: {http_error.reason}"
        return error_response(error(ErrorCode.BAD_REQUEST, message))
    except ConnectionError:
        raise
    except Exception as exception:
        log_event("request_failed", path=request.path, error=repr(exception))
        message = "the node failed to handle the request"
        return error_response(
            error(ErrorCode.UPSTREAM_BROKEN, message, Ran.MAY_HAVE_RUN)
        )


def query_number(
    request: web.Request, name: str, default: float, maximum: float
) -> float:
    """Parse a number from the query string, or raise RequestError."""
    text = request.query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        message = f"{name} is {text!r}; use a number from 0 to {maximum:g}"
        raise error(ErrorCode.BAD_REQUEST, message)
    return value


def path_number(request: web.Request, name: str) -> int:
    """Parse a non-negative integer from the path, or raise RequestError."""
    text = request.match_info[name]
    if not text.isdecimal() or len(text) > 15:
        message = f"{name} is {text!r}; use a whole number"
        raise error(ErrorCode.BAD_REQUEST, message)
    return int(text)


class EventStream:
    """Write server-sent events to a response."""

    def __init__(self, request: web.Request) -> None:
        self.request = request
        self.response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
        )

    async def open(self) -> None:
        """Send the response headers."""
        await self.response.prepare(self.request)

    async def send(self, name: str, message: Any) -> None:
        """Send one event."""
        await self.response.write(
            b"event: " + name.encode() + b"\ndata: " + to_json(message) + b"\n\n"
        )
