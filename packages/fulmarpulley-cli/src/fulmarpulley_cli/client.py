"""Call the nodes' HTTP interface for operators."""

import asyncio
import os
from collections.abc import AsyncIterator, Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.http import ErrorBody

from .exits import CommandError, ExitCode

T = TypeVar("T", bound=msgspec.Struct)

NODES_VARIABLE = "FULMARPULLEY_NODES"
CALL_TIMEOUT_S = 10.0
RETRY_INTERVAL_S = 0.2
SERVER_ERROR = 500


class ClientSettings(msgspec.Struct, frozen=True):
    """Hold the addresses of the nodes and the time limit for retries."""

    nodes: list[str]
    timeout_s: float = 30.0


class NodeError(Exception):
    """Report that a node answered with an error status."""

    def __init__(self, status: int, body: ErrorBody) -> None:
        super().__init__(body.message)
        self.status = status
        self.body = body


def client_settings(nodes: Sequence[str], timeout_s: float) -> ClientSettings:
    """Return the settings; an empty `nodes` falls back to the environment."""
    addresses = list(nodes) or os.environ.get(NODES_VARIABLE, "").split()
    if not addresses:
        message = f"no node address given; use --nodes or set {NODES_VARIABLE}"
        raise CommandError(ExitCode.USAGE, message)
    return ClientSettings([node.rstrip("/") for node in addresses], timeout_s)


class Client:
    """Send each call to the nodes in turn and retry until the time limit.

    Retries are safe because all operator calls are idempotent: an edit carries a
    record id, so a node recognizes a repeated edit by the record of the first one.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self.settings = settings
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()

    async def get(self, path: str, kind: type[T]) -> T:
        """Fetch a path and decode the response."""
        return codec.from_json(await self._call("GET", path, None), kind)

    async def post(self, path: str, body: Any, kind: type[T]) -> T:
        """Post a body; the request must be idempotent, since it may be retried."""
        return codec.from_json(await self._call("POST", path, body), kind)

    async def stream_events(self, path: str) -> AsyncIterator[str]:
        """Yield the data lines of the server-sent events of the first node."""
        stream_timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        url = self.settings.nodes[0] + path
        try:
            async with self.session.get(url, timeout=stream_timeout) as response:
                async for line in response.content:
                    if line.startswith(b"data:"):
                        yield line[5:].strip().decode()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise CommandError(ExitCode.UNREACHABLE, f"{url}: {error}") from error

    async def _call(self, method: str, path: str, body: Any) -> bytes:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.timeout_s
        while True:
            failures = []
            for node in self.settings.nodes:
                try:
                    return await self._call_node(method, node + path, body)
                except NodeError as error:
                    if error.status < SERVER_ERROR:
                        raise
                    failures.append(f"{node}: {error.body.code}: {error}")
                except (aiohttp.ClientError, TimeoutError) as error:
                    failures.append(f"{node}: {error or type(error).__name__}")
            if loop.time() >= deadline:
                raise CommandError(ExitCode.UNREACHABLE, "; ".join(failures))
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call_node(self, method: str, url: str, body: Any) -> bytes:
        data = None if body is None else codec.to_json(body)
        async with self.session.request(
            method, url, data=data, allow_redirects=False
        ) as response:
            content = await response.read()
            if response.ok:
                return content
            raise NodeError(response.status, _error_body(response.status, content))


def _error_body(status: int, content: bytes) -> ErrorBody:
    try:
        return codec.from_json(content, ErrorBody)
    except msgspec.DecodeError as error:
        message = f"status {status} without a valid error body"
        raise aiohttp.ClientPayloadError(message) from error
