"""Test that endless responses of upstreams and the store are cut off."""

import asyncio
import itertools
import unittest
import unittest.mock
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager

from result import Err, Ok, Result
from rollout_settings import caller_request, unlimited
from rollout_settings import settings as rollout_settings

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_node.platform.connections import BoundedResponseHandler
from fulmarpulley_node.platform.response_memory import MAX_RESPONSE_BYTES
from fulmarpulley_node.platform.store import StoreClient
from fulmarpulley_node.platform.workers import WorkerClient
from fulmarpulley_node.rollout.interfaces import (
    StoreFailure,
    UpstreamCallFailure,
    UpstreamResponse,
)
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_schema.generated.steps import ItemSpec

# Long enough that the caller's deadline is not what ends a response.
DEADLINE_S = 20.0
# Bytes that the socket buffers of both sides hold besides those that were read.
SOCKET_BYTES = 8 * 1024 * 1024
REPEAT = 4096

SIGNED_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n"
)


class EndlessServer:
    """Answers each request with bytes until the client closes the connection."""

    def __init__(self, head: bytes, rest: Iterable[bytes]) -> None:
        self.head = head
        self.rest = rest
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            for data in itertools.chain([self.head], self.rest):
                writer.write(data)
                self.sent += len(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.closed.set()
            writer.close()


def endless(data: bytes) -> Iterator[bytes]:
    return itertools.repeat(data * REPEAT)


def events() -> Iterator[bytes]:
    return (f"id: {n}\ndata: x\n\n".encode() for n in itertools.count(1))


HEADS = {
    "one line": (b"HTTP/1.1 200 ", endless(b"a")),
    "one field": (SIGNED_HEAD + b"X: ", endless(b"a")),
    "fields": (SIGNED_HEAD, endless(b"X: a\r\n")),
    "interim responses": (b"", endless(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "not HTTP": (b"", endless(b"\0\xff")),
}
BODIES = {
    "a body in chunks": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"4\r\naaaa\r\n"),
    ),
    "a body without a length": (SIGNED_HEAD + b"\r\n", endless(b"a")),
    "a body of a large length": (
        SIGNED_HEAD + b"Content-Length: 99999999999\r\n\r\n",
        endless(b"a"),
    ),
    "chunks of a byte": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"1\r\na\r\n"),
    ),
    "extensions of chunks": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"1;" + b"x" * 60 + b"\r\na\r\n"),
    ),
    "the size of a chunk": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"0"),
    ),
    "the trailer": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        endless(b"X: a\r\n"),
    ),
}
STREAMS = {
    "an event that does not end": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"5\r\ndata:\r\n"),
    ),
    "events without a number": (
        SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"9\r\ndata: a\n\n\r\n"),
    ),
}


def upstream(address: str) -> ListedUpstream:
    return ListedUpstream(
        upstream_id=UpstreamId("u"),
        service=ServiceName("s"),
        address=address,
        data_centre=DataCentre("a1"),
    )


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def server(
        self, head: bytes, rest: Iterable[bytes]
    ) -> AsyncIterator[tuple[EndlessServer, str]]:
        endless_server = EndlessServer(head, rest)
        server = await asyncio.start_server(endless_server.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield endless_server, f"{host}:{port}"
        finally:
            server.close()

    async def assert_bounded(self, server: EndlessServer) -> None:
        await asyncio.wait_for(server.closed.wait(), DEADLINE_S)
        self.assertLessEqual(server.sent, MAX_RESPONSE_BYTES + SOCKET_BYTES)


class EndlessUpstreamTest(EndlessCase):
    """Guards against a node that reads a response until memory runs out."""

    async def forward(
        self, address: str
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        client = WorkerClient(rollout_settings(), unlimited())
        try:
            return await client.forward(upstream(address), caller_request(), DEADLINE_S)
        finally:
            await client.close()

    async def generate(self, address: str) -> Result[None, UpstreamCallFailure]:
        client = WorkerClient(rollout_settings(), unlimited())
        item = ItemSpec(
            item_id="r1", path="/p", headers={}, body=b"", prompt_tokens=1, max_tokens=9
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                return await client.generate(
                    upstream(address), "h", item, 0, 0, lambda data, version: None
                )
        finally:
            await client.close()

    async def test_forward_fails_on_endless_response(self) -> None:
        for name, (head, rest) in (HEADS | BODIES).items():
            with self.subTest(name):
                async with self.server(head, rest) as (server, address):
                    result = await self.forward(address)
                    assert isinstance(result, Err)
                    self.assertIs(result.err_value.failure, Failure.BROKEN)
                    await self.assert_bounded(server)

    async def test_generate_fails_on_endless_response(self) -> None:
        for name, (head, rest) in (HEADS | STREAMS).items():
            with self.subTest(name):
                async with self.server(head, rest) as (server, address):
                    result = await self.generate(address)
                    assert isinstance(result, Err)
                    self.assertIs(result.err_value.failure, Failure.BROKEN)
                    await self.assert_bounded(server)

    async def test_generate_fails_when_events_exceed_max_tokens(self) -> None:
        head = SIGNED_HEAD + b"Content-Length: 99999999\r\n\r\n"
        async with self.server(head, events()) as (server, address):
            result = await self.generate(address)
            assert isinstance(result, Err)
            self.assertIs(result.err_value.failure, Failure.BROKEN)
            await self.assert_bounded(server)


class ParsedBytesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bytes that take far more time to parse than to receive."""

    async def test_costly_bytes_are_cut_off_long_before_the_limit_of_size(self) -> None:
        costly = {
            name: (HEADS | BODIES)[name]
            for name in (
                "interim responses",
                "a body in chunks",
                "chunks of a byte",
                "the size of a chunk",
                "the trailer",
            )
        }
        for name, (head, rest) in costly.items():
            with self.subTest(name):
                protocol = BoundedResponseHandler(asyncio.get_running_loop())
                transport = unittest.mock.Mock(spec=asyncio.Transport)
                transport.is_closing.return_value = False
                protocol.connection_made(transport)
                protocol.set_response_params(read_until_eof=True)
                received = iter(itertools.chain([head], rest))
                sent = 0
                while not transport.abort.called and not transport.close.called:
                    data = next(received)
                    protocol.data_received(data)
                    body = protocol.response_body
                    if body is not None and body.exception() is None:
                        body.read_nowait(-1)
                    sent += len(data)
                    self.assertLess(sent, MAX_RESPONSE_BYTES / 8)


class LongAnswerTest(EndlessCase):
    """Guards against sound answers that are cut off as endless."""

    async def test_long_answers_pass(self) -> None:
        chunked = SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        size = 6 * 1024 * 1024
        length = f"Content-Length: {size}\r\n\r\n".encode()
        answers = {
            "with a length": (SIGNED_HEAD + length, [b"a" * size]),
            "in chunks": (
                chunked,
                [b"400\r\n" + b"a" * 1024 + b"\r\n"] * (size // 1024),
            ),
            "in chunks of short lines": (
                chunked,
                [b"400\r\n" + b"a\r\n\n" * 256 + b"\r\n"] * (size // 1024),
            ),
            "of lines": (SIGNED_HEAD + length, [b"\r\n" * (size // 2)]),
        }
        for name, (head, parts) in answers.items():
            with self.subTest(name):
                end = [] if "Content-Length" in head.decode() else [b"0\r\n\r\n"]
                async with self.server(head, [*parts, *end]) as (_, address):
                    client = WorkerClient(rollout_settings(), unlimited())
                    result = await client.forward(
                        upstream(address), caller_request(), DEADLINE_S
                    )
                    await client.close()
                    self.assertEqual(result.map(lambda r: len(r.body)), Ok(size))

    async def test_stream_of_many_small_events_passes(self) -> None:
        events = 6000
        batch = 100

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(SIGNED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            for number in range(1, events + 1):
                event = f"id: {number}\ndata: x\n\n"
                writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
                if number % batch == 0:
                    await writer.drain()
                    # Several times faster than engines generate.
                    await asyncio.sleep(0.1)
            writer.write(b"0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = WorkerClient(rollout_settings(), unlimited())
        received: list[bytes] = []
        item = ItemSpec(
            item_id="r1",
            path="/p",
            headers={},
            body=b"",
            prompt_tokens=1,
            max_tokens=events,
        )
        result = await client.generate(
            upstream(f"{host}:{port}"),
            "h",
            item,
            0,
            0,
            lambda data, version: received.append(data),
        )
        await client.close()
        server.close()
        self.assertEqual((result, len(received)), (Ok(None), events))


class EndlessStoreTest(EndlessCase):
    """Guards against a node that reads an endless response of the log store."""

    async def test_store_read_fails_on_endless_response(self) -> None:
        for name, (head, rest) in (HEADS | BODIES).items():
            with self.subTest(name):
                async with self.server(head, rest) as (server, address):
                    settings = rollout_settings()
                    settings.log.address = address
                    store = StoreClient(settings, RolloutMetrics())
                    try:
                        result = await store.read("t", 0, 0, 0.0)
                    finally:
                        await store.close()
                    self.assertEqual(result, Err(StoreFailure.UNKNOWN))
                    await self.assert_bounded(server)


async def _next_head(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return b""


class LateCopyTest(EndlessCase):
    """Guards against a late duplicate response that the next call takes for its own."""

    async def test_connection_is_closed_after_duplicate_response(self) -> None:
        duplicate_sent = asyncio.Event()
        paths: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while request_head := await _next_head(reader):
                part = request_head.partition(b"part=")[2][:1]
                paths.append(part)
                page = (1).to_bytes(8, "big") + bytes(8) + b"\0\0\0\1" + part
                length = str(len(page)).encode()
                head = b"HTTP/1.1 200 OK\r\nContent-Length: " + length
                writer.write(head + b"\r\n\r\n" + page)
                await asyncio.sleep(0.05)
                writer.write(head + b"\r\n\r\n" + page)
                await writer.drain()
                duplicate_sent.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        settings = rollout_settings()
        settings.log.address = f"{host}:{port}"
        store = StoreClient(settings, RolloutMetrics())
        try:
            for part in (0, 1, 2):
                duplicate_sent.clear()
                result = await store.read("t", part, 0, 0.0)
                records = [str(part).encode()]
                self.assertEqual(result.map(lambda page: page.records), Ok(records))
                await duplicate_sent.wait()
                await asyncio.sleep(0.05)
        finally:
            await store.close()
            server.close()

    async def test_response_is_kept_when_surplus_bytes_follow(self) -> None:
        # Guards against losing the complete response to a request that must not be
        # repeated.
        loop = asyncio.get_running_loop()
        protocol = BoundedResponseHandler(loop)
        transport = unittest.mock.Mock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        protocol.connection_made(transport)
        protocol.set_response_params(read_until_eof=True)
        response = SIGNED_HEAD + b"Content-Length: 2\r\n\r\nok"
        protocol.data_received(response)
        protocol.data_received(response)
        message, payload = await protocol.read()
        self.assertEqual(message.code, 200)
        self.assertEqual(await payload.read(), b"ok")
        transport.abort.assert_called_once()
