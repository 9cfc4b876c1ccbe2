"""Stand in for faulty workers that answer with bytes without end."""

import asyncio
import itertools
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Self

from .processes import wait_for
from .serving import LOOPBACK

# Bytes that are written at once.
WRITE_BYTES = 65536
HEAD_END = b"\r\n\r\n"


class EndlessPart(StrEnum):
    """Name the part of the answer that does not end."""

    HEAD = "head"
    INTERIM_RESPONSES = "interim responses"
    LENGTH = "body of a large length"
    ALLOWED_LENGTH = "body of a length that is allowed, and more"
    CHUNKS = "chunks"
    SMALL_CHUNKS = "small chunks"
    CHUNK_LINE = "line of a chunk"


def _repeat(data: bytes) -> bytes:
    return data * (WRITE_BYTES // len(data))


def _signed(request_id: str, *fields: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", "Server-Stamp: s", *fields]
    return "\r\n".join(lines).encode()


CHUNKED = "Transfer-Encoding: chunked"
# The beginning of an answer to a request, and what follows without end.
ANSWERS: dict[EndlessPart, tuple[Callable[[str], bytes], bytes]] = {
    EndlessPart.HEAD: (lambda name: _signed(name, "X: "), _repeat(b"a")),
    EndlessPart.INTERIM_RESPONSES: (
        lambda name: b"",
        _repeat(b"HTTP/1.1 100 Continue\r\n\r\n"),
    ),
    EndlessPart.LENGTH: (
        lambda name: _signed(name, "Content-Length: 99999999999") + HEAD_END,
        _repeat(b"a"),
    ),
    EndlessPart.ALLOWED_LENGTH: (
        lambda name: _signed(name, "Content-Length: 8000000") + HEAD_END,
        _repeat(b"a"),
    ),
    EndlessPart.CHUNKS: (
        lambda name: _signed(name, CHUNKED) + HEAD_END,
        b"fff8\r\n" + b"a" * 0xFFF8 + b"\r\n",
    ),
    EndlessPart.SMALL_CHUNKS: (
        lambda name: _signed(name, CHUNKED) + HEAD_END,
        _repeat(b"4\r\naaaa\r\n"),
    ),
    EndlessPart.CHUNK_LINE: (
        lambda name: _signed(name, CHUNKED) + HEAD_END,
        _repeat(b"0"),
    ),
}


class EndlessWorker:
    """Answer each request without end, until its connection is closed."""

    def __init__(self, part: EndlessPart) -> None:
        self.part = part

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            head = (await reader.readuntil(HEAD_END)).decode()
            for data in self._answer(head):
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, head: str) -> Iterator[bytes]:
        request_id = head.partition("Request-Id: ")[2].partition("\r")[0]
        begin, rest = ANSWERS[self.part]
        return itertools.chain([begin(request_id)], itertools.repeat(rest))


class EndlessWorkers:
    """Run endless workers in a process of their own, apart from the callers."""

    def __init__(self, part: EndlessPart, ports: list[int]) -> None:
        self.command = [sys.executable, "-m", __name__, part, *map(str, ports)]
        self.ports = ports

    def __enter__(self) -> Self:
        """Start the process and wait until it accepts connections."""
        self.process = subprocess.Popen(self.command)
        wait_for(lambda: all(map(_accepts, self.ports)), "the endless workers")
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def _accepts(port: int) -> bool:
    try:
        socket.create_connection((LOOPBACK, port)).close()
    except OSError:
        return False
    return True


async def _serve(part: EndlessPart, ports: list[int]) -> None:
    worker = EndlessWorker(part)
    servers = [await asyncio.start_server(worker.serve, LOOPBACK, p) for p in ports]
    await asyncio.gather(*(server.serve_forever() for server in servers))


if __name__ == "__main__":
    asyncio.run(_serve(EndlessPart(sys.argv[1]), [int(port) for port in sys.argv[2:]]))
