"""Test that failed attempts are classified by whether they may have run."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from result import Err, Result

from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_node.upstreams.dialects import Attempt, AttemptEnd
from fulmarpulley_node.upstreams.engine import EngineDialect
from fulmarpulley_node.upstreams.plain import PlainDialect
from fulmarpulley_schema.generated.document import UpstreamEntry
from fulmarpulley_schema.generated.upstream import OrderAction, OrderRequest

Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter
Script = Callable[[Reader, Writer], Awaitable[None]]

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
TOKEN = b'event: token\ndata: {"index": %d, "token": "t", "version": 1}\n\n'


def stream_of(*events: bytes) -> bytes:
    body = b"".join(events)
    length = b"Content-Length: %d\r\n\r\n" % len(body)
    return HEAD + length + body


def end(count: int, reason: str = "stop") -> bytes:
    return b'event: end\ndata: {"count": %d, "reason": "%s"}\n\n' % (
        count,
        reason.encode(),
    )


def entry(port: int, dialect: str = "engine") -> UpstreamEntry:
    address = f"http://127.0.0.1:{port}"
    return UpstreamEntry(
        id="e1", address=address, data_centre="d", region="r", dialect=dialect
    )


def attempt(resume: list[str] | None = None, stall_s: float = 5.0) -> Attempt:
    return Attempt(
        request_id="w#1",
        key="w",
        model="m",
        prompt="p",
        prefix="",
        max_tokens=8,
        priority=5,
        seed=0,
        stall_s=stall_s,
        resume=resume or [],
    )


class ScriptedServer:
    """Answers each request by a script and counts requests and connections."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.requests = 0
        self.connections = 0
        self.closed = asyncio.Event()

    async def handle(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split()[0])
                await reader.readexactly(length)
                self.requests += 1
                await self.script(reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


class DialectTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, script: Script) -> tuple[ScriptedServer, int]:
        scripted = ScriptedServer(script)
        server = await asyncio.start_server(scripted.handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return scripted, server.sockets[0].getsockname()[1]

    async def serve_reply(self, reply: bytes) -> tuple[ScriptedServer, int]:
        async def script(_reader: Reader, writer: Writer) -> None:
            writer.write(reply)

        return await self.serve(script)

    async def run_engine(
        self, port: int, to_run: Attempt | None = None
    ) -> tuple[Result[None, AttemptEnd], list[str]]:
        dialect = EngineDialect(entry(port))
        tokens: list[str] = []
        result = await dialect.run(to_run or attempt(), lambda t, _v: tokens.append(t))
        await dialect.close()
        return result, tokens

    async def failure_of(self, reply: bytes) -> Failure:
        _, port = await self.serve_reply(reply)
        result, _ = await self.run_engine(port)
        assert isinstance(result, Err), result
        return result.err_value.failure

    async def test_run_succeeds_on_complete_stream(self) -> None:
        _, port = await self.serve_reply(stream_of(TOKEN % 0, TOKEN % 1, end(2)))
        result, tokens = await self.run_engine(port)
        self.assertTrue(result.is_ok())
        self.assertEqual(tokens, ["t", "t"])

    async def test_run_is_broken_without_end_event(self) -> None:
        self.assertIs(await self.failure_of(stream_of(TOKEN % 0)), Failure.BROKEN)

    async def test_run_is_broken_when_end_event_has_wrong_count(self) -> None:
        reply = stream_of(TOKEN % 0, end(2))
        self.assertIs(await self.failure_of(reply), Failure.BROKEN)

    async def test_run_is_broken_when_a_token_is_missing(self) -> None:
        reply = stream_of(TOKEN % 0, TOKEN % 2, end(3))
        self.assertIs(await self.failure_of(reply), Failure.BROKEN)

    async def test_token_count_includes_resumed_tokens(self) -> None:
        _, port = await self.serve_reply(stream_of(TOKEN % 2, end(3)))
        result, tokens = await self.run_engine(port, attempt(resume=["a", "b"]))
        self.assertTrue(result.is_ok())
        self.assertEqual(tokens, ["t"])

    async def test_run_is_broken_when_engine_cancels(self) -> None:
        reply = stream_of(TOKEN % 0, end(1, "cancelled"))
        self.assertIs(await self.failure_of(reply), Failure.BROKEN)

    async def test_run_is_refused_on_status_503(self) -> None:
        reply = b"HTTP/1.1 503 No\r\nContent-Length: 0\r\nRetry-After: 2\r\n\r\n"
        self.assertIs(await self.failure_of(reply), Failure.REFUSED)

    async def test_run_is_errored_on_status_500(self) -> None:
        reply = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        self.assertIs(await self.failure_of(reply), Failure.ERRORED)

    async def test_redirect_is_not_followed(self) -> None:
        # Guards against a redirect that makes an upstream run a request twice.
        reply = b"HTTP/1.1 307 R\r\nLocation: /v1/generate\r\nContent-Length: 0\r\n\r\n"
        scripted, port = await self.serve_reply(reply)
        result, _ = await self.run_engine(port)
        self.assertTrue(result.is_err())
        self.assertEqual(scripted.requests, 1)

    async def test_run_is_not_sent_when_connect_is_refused(self) -> None:
        _, port = await self.serve_reply(b"")
        unused = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        port = unused.sockets[0].getsockname()[1]
        unused.close()
        await unused.wait_closed()
        result, _ = await self.run_engine(port)
        assert isinstance(result, Err)
        self.assertIs(result.err_value.failure, Failure.NOT_SENT)

    async def test_request_is_not_resent_when_connection_closes(self) -> None:
        # Guards against a client library that resends when a connection closes.
        async def script(_reader: Reader, writer: Writer) -> None:
            writer.close()

        scripted, port = await self.serve(script)
        result, _ = await self.run_engine(port)
        assert isinstance(result, Err)
        self.assertIs(result.err_value.failure, Failure.BROKEN)
        self.assertEqual(scripted.requests, 1)

    async def test_request_is_not_resent_when_idle_connection_closes(self) -> None:
        # A kept-alive connection that closes may have delivered the request.
        first = [True]

        async def script(_reader: Reader, writer: Writer) -> None:
            if first.pop() if first else False:
                writer.write(stream_of(end(0)))
            else:
                writer.close()

        scripted, port = await self.serve(script)
        dialect = EngineDialect(entry(port))
        self.addAsyncCleanup(dialect.close)
        self.assertTrue((await dialect.run(attempt(), lambda _t, _v: None)).is_ok())
        result = await dialect.run(attempt(), lambda _t, _v: None)
        assert isinstance(result, Err)
        self.assertIs(result.err_value.failure, Failure.BROKEN)
        self.assertEqual((scripted.requests, scripted.connections), (2, 1))

    async def test_run_is_broken_after_read_timeout(self) -> None:
        async def script(_reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + b"Content-Length: 999\r\n\r\n" + TOKEN % 0)

        _, port = await self.serve(script)
        result, tokens = await self.run_engine(port, attempt(stall_s=0.2))
        assert isinstance(result, Err)
        self.assertIs(result.err_value.failure, Failure.BROKEN)
        self.assertEqual(tokens, ["t"])

    async def test_connection_is_closed_when_attempt_is_cancelled(self) -> None:
        # Guards against late bytes of a cancelled request that reach the next one.
        async def script(_reader: Reader, writer: Writer) -> None:
            writer.write(HEAD + b"Content-Length: 999\r\n\r\n" + TOKEN % 0)

        scripted, port = await self.serve(script)
        dialect = EngineDialect(entry(port))
        self.addAsyncCleanup(dialect.close)
        started = asyncio.Event()
        running = asyncio.create_task(
            dialect.run(attempt(), lambda _t, _v: started.set())
        )
        await asyncio.wait_for(started.wait(), 30.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await asyncio.wait_for(scripted.closed.wait(), 30.0)

    async def test_order_refusal_names_newest_fence(self) -> None:
        body = b'{"newest_fence": 9}'
        head = b"HTTP/1.1 409 C\r\nContent-Length: %d\r\n\r\n" % len(body)
        _, port = await self.serve_reply(head + body)
        dialect = EngineDialect(entry(port))
        self.addAsyncCleanup(dialect.close)
        order = OrderRequest(
            order_id="o", action=OrderAction.LOAD, model="m", version=1, fence=3
        )
        result = await dialect.order(order)
        assert isinstance(result, Err)
        self.assertEqual(result.err_value.newest_fence, 9)

    async def test_plain_run_passes_result_as_one_token(self) -> None:
        body = b'{"result": "done"}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        _, port = await self.serve_reply(head + body)
        dialect = PlainDialect(entry(port, "plain"))
        self.addAsyncCleanup(dialect.close)
        tokens: list[str] = []
        result = await dialect.run(attempt(), lambda t, _v: tokens.append(t))
        self.assertTrue(result.is_ok())
        self.assertEqual(tokens, ["done"])

    async def test_plain_run_is_broken_on_undecodable_result(self) -> None:
        _, port = await self.serve_reply(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"
        )
        dialect = PlainDialect(entry(port, "plain"))
        self.addAsyncCleanup(dialect.close)
        result = await dialect.run(attempt(), lambda _t, _v: None)
        assert isinstance(result, Err)
        self.assertIs(result.err_value.failure, Failure.BROKEN)
