"""Test the connections that a node opens and accepts."""

import socket
import unittest

from aiohttp import ClientConnectionError, test_utils, web

from fulmarpulley_node.platform.connections import (
    new_session,
    refuse_new_connections,
)
from fulmarpulley_node.rollout.opened_connections import count_connections

LOOPBACK = "127.0.0.1"
WAIT_S = 0.3


class RefuseNewConnectionsTest(unittest.TestCase):
    """Guards against resetting connections whose requests were already sent."""

    def setUp(self) -> None:
        self.listener = socket.create_server((LOOPBACK, 0))
        self.listener.settimeout(WAIT_S)
        self.addCleanup(self.listener.close)
        self.address = self.listener.getsockname()

    def connect(self) -> socket.socket:
        connection = socket.create_connection(self.address, WAIT_S)
        self.addCleanup(connection.close)
        return connection

    def test_pending_connection_is_accepted_with_its_request(self) -> None:
        caller = self.connect()
        caller.sendall(b"request")
        refuse_new_connections(self.listener)
        accepted, _ = self.listener.accept()
        self.addCleanup(accepted.close)
        self.assertEqual(accepted.recv(16), b"request")

    def test_accepted_connection_still_receives(self) -> None:
        caller = self.connect()
        accepted, _ = self.listener.accept()
        self.addCleanup(accepted.close)
        refuse_new_connections(self.listener)
        caller.sendall(b"request")
        self.assertEqual(accepted.recv(16), b"request")

    def test_new_connection_times_out(self) -> None:
        refuse_new_connections(self.listener)
        # The caller gets no connection, so it sends nothing that could be lost.
        with self.assertRaises(TimeoutError):
            self.connect()


class ResendTest(unittest.IsolatedAsyncioTestCase):
    """Guards against the HTTP library running a request twice by itself."""

    async def asyncSetUp(self) -> None:
        self.runs: list[str] = []
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.run_request)
        self.server = test_utils.TestServer(app)
        await self.server.start_server()
        self.addAsyncCleanup(self.server.close)

    async def run_request(self, request: web.Request) -> web.Response:
        self.runs.append(request.path)
        if request.path == "/lost" and request.transport is not None:
            request.transport.abort()
        return web.Response()

    async def test_request_on_a_kept_connection_is_not_sent_again(self) -> None:
        for method in ("GET", "POST", "PUT", "DELETE", "PATCH"):
            async with new_session(resend=False) as session:
                async with session.request(method, self.server.make_url("/kept")):
                    pass
                with self.assertRaises(ClientConnectionError):
                    await session.request(method, self.server.make_url("/lost"))
            self.assertEqual(self.runs.count("/lost"), 1, method)
            self.runs.clear()

    async def test_task_counts_the_connections_that_it_opens(self) -> None:
        # Guards against connections of moves that no metric counts.
        opened: list[int] = []
        count_connections(lambda: opened.append(1))
        async with new_session() as session:
            for path in ("/first", "/kept"):
                async with session.get(self.server.make_url(path)):
                    pass
        self.assertEqual(len(opened), 1)
