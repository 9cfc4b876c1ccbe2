"""Test that answers that break off are never taken for whole ones."""

import asyncio
import socket
import struct
import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from result import Err, Ok, Result
from rollout_settings import caller_request, unlimited
from rollout_settings import settings as rollout_settings

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_node.platform.workers import WorkerClient
from fulmarpulley_node.rollout.interfaces import (
    UpstreamCallFailure,
    UpstreamResponse,
)
from fulmarpulley_schema.generated.steps import ItemSpec

TIMEOUT_S = 5.0
ZERO_LINGER = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\nRequest-Id: r1\r\n"
EVENTS = b"id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


PLAIN_ANSWERS = {
    "with a length": HEAD + b"Content-Length: 5\r\n\r\nwhole",
    "with an empty body": HEAD + b"Content-Length: 0\r\n\r\n",
    "in chunks": CHUNKED + chunk(b"wh") + chunk(b"ole") + b"0\r\n\r\n",
}
STREAM = CHUNKED + chunk(EVENTS[:15]) + chunk(EVENTS[15:]) + b"0\r\n\r\n"
ERROR_TEXT = b"the engine is out of memory"


class TruncatedCase(unittest.IsolatedAsyncioTestCase):
    @asynccontextmanager
    async def client(
        self, answer: bytes, reset: bool = False
    ) -> AsyncIterator[tuple[WorkerClient, ListedUpstream]]:
        """Serves these bytes, then closes the connection."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            if reset:
                await asyncio.sleep(0.01)
                raw_socket = writer.get_extra_info("socket")
                raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        upstream = ListedUpstream(
            upstream_id=UpstreamId("u"),
            service=ServiceName("s"),
            address=f"{host}:{port}",
            data_centre=DataCentre("a1"),
        )
        client = WorkerClient(rollout_settings(), unlimited())
        try:
            yield client, upstream
        finally:
            await client.close()
            server.close()

    async def forward(
        self, answer: bytes, reset: bool = False
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        async with self.client(answer, reset) as (client, upstream):
            return await client.forward(upstream, caller_request(), TIMEOUT_S)

    async def resume(
        self, answer: bytes, reset: bool = False
    ) -> tuple[Result[None, UpstreamCallFailure], list[bytes]]:
        """Resume an item after its second event."""
        item = ItemSpec(
            item_id="r1",
            path="/p",
            headers={},
            body=b"",
            prompt_tokens=1,
            max_tokens=10,
            length_hint=0,
            prefix="",
            group="",
        )
        events: list[bytes] = []
        async with self.client(answer, reset) as (client, upstream):
            async with asyncio.timeout(TIMEOUT_S):
                result = await client.generate(
                    upstream, "h", item, 2, 1, lambda data, _: events.append(data)
                )
        return result, events


class PlainAnswerTest(TruncatedCase):
    """Guards against a 200 with a short body after an upstream broke off."""

    async def test_answer_cut_at_any_byte_is_not_a_success(self) -> None:
        for name, answer in PLAIN_ANSWERS.items():
            self.assertIsInstance(await self.forward(answer), Ok, name)
            for length in range(len(answer)):
                for reset in (False, True):
                    result = await self.forward(answer[:length], reset)
                    self.assertIsInstance(result, Err, (name, answer[:length], reset))

    async def test_answer_whose_signature_cannot_be_passed_on_is_not_a_success(
        self,
    ) -> None:
        head = HEAD.replace(b"Stamp: s", b"Stamp: s\xff")
        result = await self.forward(head + b"Content-Length: 0\r\n\r\n")
        self.assertIsInstance(result, Err)


class StreamTest(TruncatedCase):
    """Guards against streams that take in an error or end before their last event."""

    async def test_stream_cut_at_any_byte_is_not_complete(self) -> None:
        result, events = await self.resume(STREAM)
        self.assertEqual((result, events), (Ok(None), [b"c", b"d"]))
        for length in range(len(STREAM)):
            result, events = await self.resume(STREAM[:length])
            self.assertIsInstance(result, Err, STREAM[:length])
            self.assertEqual(events, [b"c", b"d"][: len(events)])

    async def test_error_of_the_next_upstream_is_not_taken_for_events(self) -> None:
        body = b"Content-Length: %d\r\n\r\n%b" % (len(ERROR_TEXT), ERROR_TEXT)
        for status in (b"500 Error", b"502 Error", b"400 Error", b"422 Error"):
            answer = HEAD.replace(b"200 OK", status) + body
            result, events = await self.resume(answer)
            assert isinstance(result, Err)
            self.assertIs(result.err_value.failure, Failure.ERRORED)
            self.assertEqual(events, [])

    async def test_text_that_is_no_event_does_not_complete_a_stream(self) -> None:
        nested = HEAD.replace(b"200 OK", b"500 Error") + b"\r\n" + ERROR_TEXT
        for text in (ERROR_TEXT, ERROR_TEXT + b"\n\n", nested, EVENTS[:-1]):
            result, events = await self.resume(CHUNKED + chunk(text) + b"0\r\n\r\n")
            self.assertIsInstance(result, Err, text)
            self.assertEqual(events, [b"c", b"d"][: len(events)])

    async def test_events_of_a_version_that_no_record_can_hold_are_not_taken(
        self,
    ) -> None:
        large = b"9" * 30
        head = HEAD.replace(b"Versions: 1", b"Versions: " + large)
        event = b"weight-versions: " + large + b"\n" + EVENTS
        for answer in (
            head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(EVENTS),
            CHUNKED + chunk(event),
        ):
            result, events = await self.resume(answer + b"0\r\n\r\n")
            self.assertIsInstance(result, Err)
            self.assertEqual(events, [])
