"""Send requests to a node or an upstream at a fixed concurrency."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from statistics import median

import aiohttp
import msgspec
import uvloop

TIMEOUT_S = 30.0


class LoadResult(msgspec.Struct, frozen=True):
    """Hold the totals and latencies of a load run."""

    requests: int
    tokens: int
    seconds: float
    median_s: float
    p99_s: float
    failed: int


Send = Callable[[aiohttp.ClientSession, int], Awaitable[int]]


def run_load(send: Send, requests: int, concurrency: int) -> LoadResult:
    """Run requests; `send` returns the number of tokens of an answer."""
    return uvloop.run(_run_load(send, requests, concurrency))


def call_node(address: str, service: str) -> Send:
    """Return a function that sends requests without a key to a service of a node."""
    url = f"{address}/v1/services/{service}/requests"

    async def send(session: aiohttp.ClientSession, number: int) -> int:
        body = {"input": f"input {number}", "max_tokens": 64}
        async with session.post(url, json=body) as answer:
            return int((await answer.json())["count"])

    return send


def stream_node(address: str, service: str, max_tokens: int) -> Send:
    """Return a function that sends streamed requests and counts token events."""
    url = f"{address}/v1/services/{service}/requests"

    async def send(session: aiohttp.ClientSession, number: int) -> int:
        text = f"input {number}"
        body = {"input": text, "max_tokens": max_tokens, "stream": True}
        async with session.post(url, json=body) as answer:
            return (await answer.read()).count(b"event: token")

    return send


def call_plain(address: str) -> Send:
    """Return a function that sends calls to a plain service."""

    async def send(session: aiohttp.ClientSession, number: int) -> int:
        body = {"key": f"k{number}", "body": f"input {number}"}
        async with session.post(f"{address}/v1/call", json=body) as answer:
            await answer.read()
            return 1 if answer.status == 200 else 0

    return send


async def _run_load(send: Send, requests: int, concurrency: int) -> LoadResult:
    numbers = iter(range(requests))
    times: list[float] = []
    tokens = failed = 0
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)

    async def send_until_done(session: aiohttp.ClientSession) -> None:
        nonlocal tokens, failed
        for number in numbers:
            began = time.monotonic()
            try:
                count = await send(session, number)
                tokens += count
                times.append(time.monotonic() - began)
            except (aiohttp.ClientError, KeyError, TimeoutError):
                failed += 1

    began = time.monotonic()
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        await asyncio.gather(*(send_until_done(session) for _ in range(concurrency)))
    ordered = sorted(times) or [0.0]
    return LoadResult(
        requests=len(times),
        tokens=tokens,
        seconds=time.monotonic() - began,
        median_s=median(ordered),
        p99_s=ordered[int(0.99 * (len(ordered) - 1))],
        failed=failed,
    )
