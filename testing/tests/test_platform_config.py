"""Test that nodes follow the store: odd entries and silent connections."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor

from platform_case import PlatformCase

from fulmarpulley_testing.fault_proxy import FaultProxy
from fulmarpulley_testing.odd_entries import (
    ODD_FIELDS,
    odd_announcement,
    odd_configuration,
    odd_worker,
)
from fulmarpulley_testing.platform_documents import DESK, ENGINES, configuration
from fulmarpulley_testing.platform_store import OPERATOR_TOPIC, SERVER_TOPIC
from fulmarpulley_testing.platform_system import (
    Answer,
    NodeProcess,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.ports import free_ports
from fulmarpulley_testing.processes import wait_for
from fulmarpulley_testing.serving import LOOPBACK

OTHER_ENGINES = "other-engines"
# Time within which an acknowledged configuration must be in force.
APPLY_S = 2.5
# A node must follow changes again this long after its connections went silent.
STABILITY_S = 3.0
FOLLOW_S = 10.0
PARALLEL_CALLS = 8
# Nodes notice a change of the store within this time.
NOTICE_S = 1.0


class OddEntryCase(PlatformCase):
    """Writes odd entries to the store and checks what nodes still follow."""

    def write(self, topic: str, key: str, data: bytes) -> None:
        self.system.run(self.system.store.put_bytes(topic, key, data))

    def write_odd_workers(self, service: str) -> None:
        for name in ODD_FIELDS:
            self.write(SERVER_TOPIC, f"odd {name}", odd_worker(service, name))

    def ask(self, node: NodeProcess, path: str, request_id: str = "q1") -> Answer:
        return node.call(
            "POST", path, b"text", Request_Id=request_id, Deadline_Ms="2000"
        )

    def assert_in_force(
        self, node: NodeProcess, prefix: str, timeout_s: float = APPLY_S
    ) -> None:
        wait_for(
            lambda: self.ask(node, f"{prefix}x").status == 200,
            f"{prefix} in force on {node.name}",
            timeout_s,
        )

    def assert_followed(self) -> None:
        """Assert that nodes use a worker that joins, instead of those that left."""
        joined = self.system.add_worker("joined", DESK)
        for name in ("d0", "d1"):
            self.system.put_worker_entry(name, None)
        for node in self.nodes:
            wait_for(
                lambda node=node: self.runs_at(joined.name, node),
                f"requests at the worker that joined, from {node.name}",
                FOLLOW_S,
            )

    def runs_at(self, worker: str, node: NodeProcess) -> bool:
        request_id = f"{node.name}-joined"
        answer = self.ask(node, "/desk/a", request_id)
        runs = self.system.all_runs(request_id)
        return answer.status == 200 and any(run.worker == worker for run in runs)


class OddWorkerEntryTest(OddEntryCase):
    """Guards against nodes that stop following the store at an odd worker entry."""

    def assert_configurations_in_force(self) -> None:
        settle(NOTICE_S)
        for prefix in ("/first/", "/second/"):
            self.system.add_route(prefix)
            for node in self.nodes:
                self.assert_in_force(node, prefix)

    def test_configurations_are_in_force_after_a_large_number_of_slots(self) -> None:
        for node in self.nodes:
            self.ask(node, "/desk/a")
        odd = odd_worker(DESK, "large number of slots")
        self.write(SERVER_TOPIC, "odd", odd)
        self.assert_configurations_in_force()

    def test_configurations_are_in_force_after_odd_entries(self) -> None:
        self.write_odd_workers(DESK)
        self.write_odd_workers(ENGINES)
        self.assert_configurations_in_force()

    def test_workers_are_followed_after_odd_entries(self) -> None:
        self.write_odd_workers(DESK)
        self.assert_followed()

    def test_workers_are_followed_after_a_restart_beside_odd_entries(self) -> None:
        self.write_odd_workers(DESK)
        for node in self.nodes:
            node.kill()
            node.start()
        for node in self.nodes:
            wait_for(node.is_ready, f"readiness of {node.name}")
        self.assert_followed()

    def test_requests_are_answered_beside_odd_entries(self) -> None:
        self.write_odd_workers(DESK)
        settle(NOTICE_S)
        for number in range(20):
            answer = self.ask(self.nodes[0], "/desk/a", f"r{number}")
            self.assertEqual(answer.status, 200)

    def test_items_end_beside_odd_entries(self) -> None:
        self.write_odd_workers(ENGINES)
        settle(NOTICE_S)
        submit(self.nodes[0], "s1", 20)
        self.assert_complete(wait_results(self.nodes[0], "s1", 20), 5)


class OddOperatorEntryTest(OddEntryCase):
    """Guards against nodes that stop following the operator at an odd entry."""

    def test_configuration_is_in_force_after_an_odd_configuration(self) -> None:
        self.write(OPERATOR_TOPIC, "config", odd_configuration(2))
        self.write(OPERATOR_TOPIC, "version/m0", odd_announcement())
        self.system.config_version = 2
        self.system.add_route("/next/")
        for node in self.nodes:
            self.assert_in_force(node, "/next/")


class SilentStoreTest(OddEntryCase):
    """Guards against reads that use one silent connection after the other."""

    def setUp(self) -> None:
        super().setUp()
        system = self.system
        (port,) = free_ports(1)
        self.proxy = FaultProxy(port, system.store_port)
        server = system.run(asyncio.start_server(self.proxy.accept, LOOPBACK, port))
        self.addCleanup(system.loop.call_soon_threadsafe, server.close)
        system.store_port = port
        self.node = system.add_node("behind")

    def open_store_connections(self, number: int) -> None:
        """Make the node open a connection to the store for each of several calls."""
        names = [f"s{number}-{index}" for index in range(PARALLEL_CALLS)]
        with ThreadPoolExecutor(PARALLEL_CALLS) as pool:
            list(pool.map(lambda name: submit(self.node, name, 2), names))

    def test_configuration_is_in_force_after_open_connections_go_silent(self) -> None:
        for number in range(5):
            with self.subTest(number=number):
                self.open_store_connections(number)
                self.system.loop.call_soon_threadsafe(self.proxy.discard_data)
                silent_since = time.monotonic()
                settle(0.1 * number)
                prefix = f"/silent{number}/"
                self.system.add_route(prefix)
                due = max(silent_since + STABILITY_S, time.monotonic() + APPLY_S)
                self.assert_in_force(self.node, prefix, due - time.monotonic())


class MovedRouteTest(OddEntryCase):
    """Guards against waiting items that run where their route no longer leads."""

    def test_waiting_items_follow_a_route_that_moves(self) -> None:
        for engine in self.engines:
            engine.slots = 0
        submit(self.nodes[0], "s1", 8)
        wait_for(lambda: bool(self.engines[0].arrivals), "an attempt")
        self.system.add_worker("other-1", OTHER_ENGINES)
        config = configuration(0)
        for moved in config["Routes"]:
            if moved["Service"] == ENGINES:
                moved["Service"] = OTHER_ENGINES
        engine_service = config["Services"][0]
        other = {**engine_service, "Name": OTHER_ENGINES}
        services = [*config["Services"], other]
        self.system.configure(Routes=config["Routes"], Services=services)
        settle(APPLY_S)
        for engine in self.engines:
            engine.slots = 1000
        self.assert_complete(wait_results(self.nodes[0], "s1", 8), 5)
        self.assertEqual([run for engine in self.engines for run in engine.runs], [])
