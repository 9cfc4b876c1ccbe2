"""Test requests to a node on the platform during its graceful stop."""

import asyncio
import signal
import time

from platform_case import PlatformCase

from fulmarpulley_testing.platform_documents import HOST, configuration
from fulmarpulley_testing.platform_system import NodeProcess, settle, submit
from fulmarpulley_testing.processes import wait_for
from fulmarpulley_testing.serving import LOOPBACK

CLIENTS = 16
# Time between the requests of a client; every other client reconnects for each.
PAUSE_S = 0.03
BODY = b"text"
# Seconds after the stop signal at which late requests are sent, and how long they run.
SENT_AT_S = (1.0, 2.9, 4.0, 5.5, 6.9)
WORK_S = 1.5


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


class LateRequestTest(PlatformCase):
    """Guards against requests that the end of the grace period cuts off."""

    def test_late_request_is_answered_or_refused_but_not_cut_off(self) -> None:
        for desk in self.desks:
            desk.event_s = WORK_S
        node = self.non_owner()
        lengths = "Content-Length: 0\r\n\r\n"
        head = f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\n{lengths}".partition(lengths)

        async def ask(sent_at_s: float) -> bytes:
            """Send a request on a connection that is open since before the stop."""
            streams = await asyncio.open_connection(LOOPBACK, node.caller_port)
            await asyncio.sleep(sent_at_s)
            fields = f"Request-Id: late-{sent_at_s}\r\nDeadline-Ms: 5000\r\n"
            streams[1].write(f"{head[0]}{fields}{lengths}".encode())
            answer = await streams[0].read()
            streams[1].close()
            return answer.partition(b"\r\n")[0]

        async def stop() -> list[bytes]:
            asks = [asyncio.create_task(ask(at_s)) for at_s in SENT_AT_S]
            await asyncio.sleep(0.1)
            node.signal(signal.SIGTERM)
            return await asyncio.gather(*asks)

        answers = asyncio.run(stop())
        for sent_at_s, answer in zip(SENT_AT_S, answers, strict=True):
            runs = self.system.all_runs(f"late-{sent_at_s}")
            with self.subTest(sent_at_s=sent_at_s, answer=answer):
                # The node may have closed an idle connection, but it has not read
                # the request then.
                if answer.startswith(b"HTTP/1.1 200"):
                    self.assertEqual(len(runs), 1)
                else:
                    self.assertEqual(len(runs), 0)
        self.assertTrue(answers[0].startswith(b"HTTP/1.1 200"))


class WaitingRequestTest(PlatformCase):
    """Guards against requests that wait in a node until it closes their connections."""

    def setUp(self) -> None:
        super().setUp()
        self.node = self.non_owner()
        self.answers: list[tuple[float, str, bytes]] = []
        # Requests may wait for longer than the node has left.
        routes = configuration(0)["Routes"]
        self.system.configure(Routes=[{**r, "TimeoutMs": 10000} for r in routes])

    async def ask(self, number: int) -> None:
        """Send a request and record when it ended, its id and its status line."""
        name = f"q{number}"
        streams = await asyncio.open_connection(LOOPBACK, self.node.caller_port)
        head = f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
        fields = f"Request-Id: {name}\r\nDeadline-Ms: 10000\r\n\r\n"
        streams[1].write(f"{head}{fields}".encode())
        try:
            answer = await streams[0].readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError) as fault:
            answer = repr(fault).encode()
        status = answer.partition(b"\r\n")[0]
        self.answers.append((time.monotonic(), name, status))
        streams[1].close()

    async def stop_among(self, count: int, signals: int = 1) -> None:
        """Send requests and stop the node meanwhile."""
        asks = []
        for number in range(count):
            asks.append(asyncio.create_task(self.ask(number)))
            await asyncio.sleep(0.05)
            if number == count // 2:
                for _ in range(signals):
                    self.node.signal(signal.SIGTERM)
                    await asyncio.sleep(0.01)
        await asyncio.gather(*asks)

    def assert_answered_truly(self) -> None:
        """Assert that each request got an answer that tells whether it ran."""
        for _, name, status in self.answers:
            runs = self.system.all_runs(name)
            self.assertRegex(status, rb"HTTP/1.1 (200|503|504|502)", name)
            if status.startswith(b"HTTP/1.1 503"):
                self.assertEqual(runs, [], name)
        wait_for(lambda: not self.node.running, "the end of the node")
        assert self.node.process is not None
        self.assertEqual(self.node.process.returncode, 0)

    def statuses(self, code: int) -> list[float]:
        prefix = f"HTTP/1.1 {code}".encode()
        return [at for at, _, status in self.answers if status.startswith(prefix)]

    def test_requests_that_wait_for_a_free_upstream_are_answered(self) -> None:
        for desk in self.desks:
            desk.event_s = WORK_S
            desk.slots = 2
            entry = {**self.system.entries[desk.name], "Slots": 2}
            self.system.put_worker_entry(desk.name, entry)
        settle(0.5)
        asyncio.run(self.stop_among(40))
        self.assert_answered_truly()
        self.assertGreaterEqual(len(self.statuses(200)), 8)
        refused = self.statuses(503)
        self.assertGreater(len(refused), 0)
        # Of 40 requests on 4 slots, most cannot be served. That is known long before
        # the last ones that can be are.
        early = [at for at in refused if at < max(self.statuses(200))]
        self.assertGreater(len(early), len(refused) / 2)

    def test_requests_that_wait_for_a_turn_are_answered(self) -> None:
        for desk in self.desks:
            desk.rate_limit = 0.5
        asyncio.run(self.stop_among(30))
        self.assert_answered_truly()

    def test_second_stop_signal_changes_nothing(self) -> None:
        for desk in self.desks:
            desk.event_s = 0.5
        asyncio.run(self.stop_among(20, signals=3))
        self.assert_answered_truly()
        self.assertGreaterEqual(len(self.statuses(200)), 10)

    def test_requests_are_answered_while_the_store_is_silent(self) -> None:
        for desk in self.desks:
            desk.event_s = WORK_S
        self.system.store.delay_s = 60.0
        asyncio.run(self.stop_among(20))
        self.assert_answered_truly()
        self.assertGreaterEqual(len(self.statuses(200)), 10)

    def test_trainer_that_waits_for_results_is_answered(self) -> None:
        for engine in self.engines:
            engine.event_s = 30.0
        submit(self.node, "s1", 2)
        self.node.signal(signal.SIGTERM)
        statuses = []
        while self.node.running:
            try:
                answer = self.node.call("GET", "/-/lots/s1?After=0", Wait_Ms="1000")
            except (ConnectionRefusedError, TimeoutError):
                # The node takes no new connections any more.
                break
            statuses.append(answer.status)
        self.assertGreater(len(statuses), 0)
        self.assertLessEqual(set(statuses), {200, 503})


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
