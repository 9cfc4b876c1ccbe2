"""Guard against upstreams and stores whose bytes never end."""

import asyncio
import itertools
import unittest
import unittest.mock
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import asynccontextmanager

from multidict import CIMultiDict, CIMultiDictProxy
from result import Err, Ok, Result
from rollout_settings import settings as rollout_settings

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_node.platform.connections import MAX_ANSWER_BYTES, AnswerProtocol
from fulmarpulley_node.platform.store import StoreClient
from fulmarpulley_node.platform.workers import Workers
from fulmarpulley_node.rollout.interfaces import (
    CallEnd,
    CallerRequest,
    StoreFailure,
    UpstreamAnswer,
)
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_schema.generated.steps import ItemSpec

# The deadline of a caller must not be what bounds an answer.
DEADLINE_S = 20.0
# What the sockets of both sides hold beside what was read.
SOCKET_BYTES = 8 * 1024 * 1024
REPEAT = 4096

SIGNED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n"
)


class EndlessServer:
    """Answers each request with bytes that do not end until the client closes."""

    def __init__(self, begin: bytes, rest: Iterable[bytes]) -> None:
        self.begin = begin
        self.rest = rest
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            for data in itertools.chain([self.begin], self.rest):
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
    "one field": (SIGNED + b"X: ", endless(b"a")),
    "fields": (SIGNED, endless(b"X: a\r\n")),
    "interim answers": (b"", endless(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "no answer": (b"", endless(b"\0\xff")),
}
BODIES = {
    "a body in chunks": (
        SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"4\r\naaaa\r\n"),
    ),
    "a body without a length": (SIGNED + b"\r\n", endless(b"a")),
    "a body of a large length": (
        SIGNED + b"Content-Length: 99999999999\r\n\r\n",
        endless(b"a"),
    ),
    "the size of a chunk": (
        SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"0"),
    ),
    "the trailer": (
        SIGNED + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        endless(b"X: a\r\n"),
    ),
}
STREAMS = {
    "an event that does not end": (
        SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"5\r\ndata:\r\n"),
    ),
    "events without a number": (
        SIGNED + b"Transfer-Encoding: chunked\r\n\r\n",
        endless(b"9\r\ndata: a\n\n\r\n"),
    ),
}


class EndlessCase(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def server(
        self, begin: bytes, rest: Iterable[bytes]
    ) -> AsyncIterator[tuple[EndlessServer, str]]:
        endless_server = EndlessServer(begin, rest)
        listening = await asyncio.start_server(endless_server.serve, "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        try:
            yield endless_server, f"{host}:{port}"
        finally:
            listening.close()

    async def assert_bounded(self, server: EndlessServer) -> None:
        await asyncio.wait_for(server.closed.wait(), DEADLINE_S)
        self.assertLessEqual(server.sent, MAX_ANSWER_BYTES + SOCKET_BYTES)


class EndlessUpstreamTest(EndlessCase):
    """Guards against a node that reads until its memory is used up."""

    def upstream(self, address: str) -> ListedUpstream:
        return ListedUpstream(
            upstream_id=UpstreamId("u"),
            service=ServiceName("s"),
            address=address,
            data_centre=DataCentre("a1"),
        )

    async def forward(self, address: str) -> Result[UpstreamAnswer, CallEnd]:
        workers = Workers(rollout_settings())
        request = CallerRequest(
            request_id="r1",
            method="POST",
            target="/p",
            host="h",
            headers=CIMultiDictProxy(CIMultiDict({"Request-Id": "r1"})),
            body=b"",
            deadline=None,
        )
        try:
            return await workers.forward(self.upstream(address), request, DEADLINE_S)
        finally:
            await workers.close()

    async def generate(self, address: str) -> Result[None, CallEnd]:
        workers = Workers(rollout_settings())
        item = ItemSpec(
            item_id="r1", path="/p", headers={}, body=b"", prompt_tokens=1, max_tokens=9
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                return await workers.generate(
                    self.upstream(address), "h", item, 0, 0, lambda data, version: None
                )
        finally:
            await workers.close()

    async def test_endless_answer_of_a_plain_service_is_given_up(self) -> None:
        for name, (begin, rest) in (HEADS | BODIES).items():
            with self.subTest(name):
                async with self.server(begin, rest) as (server, address):
                    done = await self.forward(address)
                    assert isinstance(done, Err)
                    self.assertIs(done.err_value.failure, Failure.BROKEN)
                    await self.assert_bounded(server)

    async def test_endless_answer_of_an_engine_is_given_up(self) -> None:
        for name, (begin, rest) in (HEADS | STREAMS).items():
            with self.subTest(name):
                async with self.server(begin, rest) as (server, address):
                    done = await self.generate(address)
                    assert isinstance(done, Err)
                    self.assertIs(done.err_value.failure, Failure.BROKEN)
                    await self.assert_bounded(server)

    async def test_more_events_than_the_item_may_have_end_its_attempt(self) -> None:
        head = SIGNED + b"Content-Length: 99999999\r\n\r\n"
        async with self.server(head, events()) as (server, address):
            done = await self.generate(address)
            assert isinstance(done, Err)
            self.assertIs(done.err_value.failure, Failure.BROKEN)
            await self.assert_bounded(server)


class EndlessStoreTest(EndlessCase):
    """Guards against a node that reads an endless answer of the log."""

    async def test_endless_answer_of_the_store_is_given_up(self) -> None:
        for name, (begin, rest) in (HEADS | BODIES).items():
            with self.subTest(name):
                async with self.server(begin, rest) as (server, address):
                    settings = rollout_settings()
                    settings.log.address = address
                    store = StoreClient(settings, RolloutMetrics())
                    try:
                        done = await store.read("t", 0, 0, 0.0)
                    finally:
                        await store.close()
                    self.assertEqual(done, Err(StoreFailure.UNKNOWN))
                    await self.assert_bounded(server)


async def _next_head(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return b""


class LateCopyTest(EndlessCase):
    """Guards against a late second answer that the next call takes for its own."""

    async def test_late_copy_of_an_answer_ends_its_connection(self) -> None:
        copied = asyncio.Event()
        paths: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while head := await _next_head(reader):
                part = head.partition(b"part=")[2][:1]
                paths.append(part)
                page = (1).to_bytes(8, "big") + bytes(8) + b"\0\0\0\1" + part
                length = str(len(page)).encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: " + length
                writer.write(answer + b"\r\n\r\n" + page)
                await asyncio.sleep(0.05)
                writer.write(answer + b"\r\n\r\n" + page)
                await writer.drain()
                copied.set()

        listening = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = listening.sockets[0].getsockname()
        settings = rollout_settings()
        settings.log.address = f"{host}:{port}"
        store = StoreClient(settings, RolloutMetrics())
        try:
            for part in (0, 1, 2):
                copied.clear()
                done = await store.read("t", part, 0, 0.0)
                records = [str(part).encode()]
                self.assertEqual(done.map(lambda page: page.records), Ok(records))
                await copied.wait()
                await asyncio.sleep(0.05)
        finally:
            await store.close()
            listening.close()

    async def test_bytes_behind_an_answer_do_not_spoil_it(self) -> None:
        # Guards against a request that must not be repeated and loses its whole answer.
        loop = asyncio.get_running_loop()
        protocol = AnswerProtocol(loop)
        sent = unittest.mock.Mock(spec=asyncio.Transport)
        sent.is_closing.return_value = False
        protocol.connection_made(sent)
        protocol.set_response_params(read_until_eof=True)
        answer = SIGNED + b"Content-Length: 2\r\n\r\nok"
        protocol.data_received(answer)
        protocol.data_received(answer)
        message, payload = await protocol.read()
        self.assertEqual(message.code, 200)
        self.assertEqual(await payload.read(), b"ok")
        sent.abort.assert_called_once()
