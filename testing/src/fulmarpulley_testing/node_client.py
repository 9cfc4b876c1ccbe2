"""Call nodes as callers and trainers do, with another node after a failure."""

import random
from typing import Any, TypeVar

import aiohttp
import msgspec

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.http import ErrorBody, Ran

T = TypeVar("T", bound=msgspec.Struct)

CONNECT_TIMEOUT_S = 2.0


class CallError(Exception):
    """Report an error response, or a lost connection when ran is absent."""

    def __init__(
        self, code: str, ran: Ran | None = None, retry_after_s: float = 0.1
    ) -> None:
        super().__init__(code)
        self.code = code
        self.ran = ran
        self.retry_after_s = retry_after_s


class NodeClient:
    """Call one of several nodes, chosen at random as by a load balancer."""

    def __init__(self, nodes: list[str], seed: int, read_timeout_s: float) -> None:
        self.nodes = nodes
        self.random = random.Random(seed)
        timeout = aiohttp.ClientTimeout(
            sock_connect=CONNECT_TIMEOUT_S, sock_read=read_timeout_s
        )
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    def choose(self, avoid: str = "") -> str:
        """Choose a node at random, if possible not the one to avoid."""
        others = [node for node in self.nodes if node != avoid]
        return self.random.choice(others or self.nodes)

    async def call(
        self, node: str, method: str, path: str, kind: type[T], body: Any = None
    ) -> T:
        """Call a node and decode its response; raise CallError on any failure."""
        data = await self.send(node, method, path, body)
        return codec.from_json(data or b"{}", kind)

    async def send(self, node: str, method: str, path: str, body: Any = None) -> bytes:
        """Call a node and return the response body; raise CallError on any failure."""
        payload = None if body is None else codec.to_json(body)
        try:
            async with self.session.request(
                method, node + path, data=payload, allow_redirects=False
            ) as answer:
                data = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise CallError(f"lost: {type(error).__name__}") from error
        if answer.status >= 300:
            raise decode_error(data, answer.status)
        return data


def decode_error(data: bytes, status: int) -> CallError:
    """Decode an error body; treat an undecodable one as a lost connection."""
    try:
        body = codec.from_json(data, ErrorBody)
    except msgspec.MsgspecError:
        return CallError(f"undecodable error body with status {status}")
    return CallError(body.code, body.ran, body.retry_after_s or 0.1)
