"""Stand in for a worker of a plain service, on raw sockets.

It keeps its channels, answers one request at a time on each, echoes `Request-Id`, and
rejects with `Not-Executed` what finds no free slot. Its faults are set by attributes.
"""

import asyncio
import random
import time
from typing import NamedTuple


class Run(NamedTuple):
    """Record that a worker began to work on a request."""

    worker: str
    request_id: str
    at: float


class PlainWorker:
    """Answer requests; `extra_late_share` is its fault."""

    def __init__(self, name: str, slots: int, work_s: float, seed: int) -> None:
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.random = random.Random(seed)
        # Share of the answers of which a second copy arrives late, at the point where
        # the next response is expected.
        self.extra_late_share = 0.0
        # Slots that other callers' requests take at present.
        self.taken = 0
        self.running = 0
        self.answers = 0
        self.extras = 0
        self.runs: list[Run] = []
        self.rejected: list[str] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free loopback port and return it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        extra = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = dict(
                    (name.lower(), value.strip())
                    for name, _, value in (x.partition(":") for x in lines[1:] if x)
                )
                await reader.readexactly(int(fields.get("content-length", "0")))
                if (
                    extra
                    and f"Request-Id: {fields['request-id']}\r\n".encode() in extra
                ):
                    # Only the id tells an extra response from the one that is due.
                    extra = b""
                if extra:
                    # The extra response arrives where the next one is expected.
                    writer.write(extra)
                    await writer.drain()
                    self.extras += 1
                    extra = b""
                answer = await self._answer(fields)
                self.answers += 1
                writer.write(answer)
                await writer.drain()
                if self.random.random() < self.extra_late_share:
                    extra = answer
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, fields: dict[str, str]) -> bytes:
        request_id = fields["request-id"]
        if fields.get("expected-instance") != self.name:
            return _response(
                421, "Misdirected Request", request_id, ["Not-Executed: 1"]
            )
        if self.running + self.taken >= self.slots:
            self.rejected.append(request_id)
            return _response(
                503, "Service Unavailable", request_id, ["Not-Executed: 1"]
            )
        self.running += 1
        self.runs.append(Run(self.name, request_id, time.monotonic()))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        stamp = f"Server-Stamp: {self.name}.{request_id}"
        return _response(200, "OK", request_id, [stamp], f"done {request_id}".encode())

    async def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


def entry(worker: PlainWorker, service: str, port: int) -> dict[str, object]:
    """Return the entry of a worker in the store."""
    return {
        "Service": service,
        "Address": f"127.0.0.1:{port}",
        "Zone": "chipre",
        "Version": "v1",
        "Slots": worker.slots,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Models": [],
        "Sequence": 1,
        "born": 1,
    }


def _response(
    status: int, reason: str, request_id: str, fields: list[str], body: bytes = b""
) -> bytes:
    lines = [
        f"HTTP/1.1 {status} {reason}",
        f"Request-Id: {request_id}",
        *fields,
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body
