"""Test requests to a node on the platform during its graceful stop."""

import asyncio
import signal
import time

from platform_case import PlatformCase

from fulmarpulley_testing.platform_system import HOST, NodeProcess
from fulmarpulley_testing.processes import wait_for
from fulmarpulley_testing.serving import LOOPBACK

CLIENTS = 16
# Time between the requests of a client; every other client reconnects for each.
PAUSE_S = 0.03
BODY = b"text"


class Client:
    """Send requests to one node and record those sent but not answered."""

    def __init__(self, node: NodeProcess, name: str, keep_alive: bool) -> None:
        self.node = node
        self.name = name
        self.keep_alive = keep_alive
        self.answered = 0
        self.unanswered: list[str] = []

    async def run(self) -> None:
        """Send requests until the node accepts no more connections."""
        number = 0
        while self.node.running:
            try:
                streams = await asyncio.open_connection(LOOPBACK, self.node.caller_port)
            except OSError:
                return
            reusable = True
            while reusable:
                number += 1
                reusable = (
                    await self._ask(*streams, f"{self.name}-{number}")
                    and self.keep_alive
                )
                await asyncio.sleep(PAUSE_S)
            streams[1].close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str
    ) -> bool:
        """Send a request; return whether the connection may be used again."""
        if reader.at_eof():
            return False
        head = f"POST /desk/a HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {name}\r\n"
        length = f"Deadline-Ms: 3000\r\nContent-Length: {len(BODY)}\r\n\r\n"
        began = time.monotonic()
        try:
            writer.write((head + length).encode() + BODY)
            answer = await reader.readuntil(b"\r\n\r\n")
            fields = answer.decode().lower()
            size = int(fields.partition("content-length: ")[2].partition("\r")[0])
            await reader.readexactly(size)
        except (OSError, asyncio.IncompleteReadError) as fault:
            self.unanswered.append(
                f"{name} after {time.monotonic() - began:.3f} s: {fault!r}"
            )
            return False
        self.answered += 1
        return "connection: close" not in fields


class StopTest(PlatformCase):
    """Guards against requests that get no answer because their node stops."""

    def test_sent_requests_are_answered_when_a_node_stops_under_load(self) -> None:
        for desk in self.desks:
            desk.event_s = 0.05
        node = self.non_owner()
        clients = [Client(node, f"c{n}", n % 2 == 0) for n in range(CLIENTS)]

        async def stop_under_load() -> None:
            tasks = [asyncio.create_task(client.run()) for client in clients]
            await asyncio.sleep(1.0)
            node.signal(signal.SIGTERM)
            await asyncio.gather(*tasks)

        asyncio.run(stop_under_load())
        wait_for(lambda: not node.running, "the end of the node")
        assert node.process is not None
        self.assertEqual(node.process.returncode, 0)
        self.assertGreater(sum(client.answered for client in clients), 100)
        self.assertEqual(
            [unanswered for client in clients for unanswered in client.unanswered], []
        )
