"""Test owners that cannot reach the store, with and without a new owner."""

import asyncio

from platform_case import PlatformCase

from fulmarpulley_testing.fault_proxy import FaultProxy
from fulmarpulley_testing.platform_store import StoreMode
from fulmarpulley_testing.platform_system import (
    NodeProcess,
    results,
    submit,
    wait_results,
)
from fulmarpulley_testing.platform_worker import PlatformWorker, Run
from fulmarpulley_testing.ports import free_ports
from fulmarpulley_testing.processes import wait_for
from fulmarpulley_testing.serving import LOOPBACK

ITEMS = 4
# A run takes 9 s, which is far longer than a takeover and ends within the 15 s for
# which an owner goes on without contact.
EVENTS = 90
EVENT_S = 0.1


class ReplacedOwnerTest(PlatformCase):
    """Guards against replaced owners that hold engines, and needless ends."""

    def start_nodes(self) -> list[NodeProcess]:
        self.proxies: dict[str, FaultProxy] = {}
        store_port = self.system.store_port
        nodes = []
        for name in ("n0", "n1"):
            (port,) = free_ports(1)
            proxy = self.proxies[name] = FaultProxy(port, store_port)
            self.system.run(asyncio.start_server(proxy.accept, LOOPBACK, port))
            self.system.store_port = port
            nodes.append(self.system.add_node(name))
        return nodes

    def cut_off(self, node: NodeProcess) -> None:
        proxy = self.proxies[node.name]
        proxy.faults.refuse = True
        self.system.loop.call_soon_threadsafe(proxy.abort_connections)

    def slow_down(self, *engines: PlatformWorker) -> None:
        for engine in engines:
            engine.events_per_item, engine.event_s = EVENTS, EVENT_S

    def start_step(self, step: str) -> list[Run]:
        """Submit a step and return its runs when all have begun."""
        submit(self.non_owner(), step, ITEMS)
        items = [f"{step}-{number}" for number in range(ITEMS)]
        wait_for(
            lambda: all(self.system.all_runs(item) for item in items), "runs of items"
        )
        return [run for item in items for run in self.system.all_runs(item)]

    def test_owner_that_was_replaced_stops_its_runs(self) -> None:
        self.slow_down(*self.engines)
        former, successor = self.owner(), self.non_owner()
        runs = self.start_step("s1")
        # The new owner has an engine that runs nothing yet, so that it does not
        # happen to choose the same engine as the former one for each item.
        self.slow_down(self.system.add_worker("e2"))
        self.cut_off(former)
        wait_for(lambda: self.system.owner() is successor, "a takeover")
        wait_for(lambda: bool(former.events("ownership_superseded")), "the end")
        wait_for(lambda: all(run.ended for run in runs), "the end of the runs")
        # The runs did not end by themselves, nor by the end of the 15 s.
        self.assertFalse(any(run.complete for run in runs))
        self.assertEqual(former.events("ownership_lapsed"), [])
        self.assertEqual(former.events("fence_renewed"), [])
        for engine in self.system.workers.values():
            engine.event_s = 0.01
        found = wait_results(successor, "s1", ITEMS)
        self.assert_complete(found, EVENTS)
        # The former owner becomes owner again when the group says so.
        self.proxies[former.name].faults.refuse = False
        wait_for(lambda: results(former, "s1")["Results"] == found, "contact")
        for engine in self.system.workers.values():
            engine.events_per_item = 5
        wait_for(
            lambda: any(
                name.startswith(former.name)
                for name in self.system.store.groups["homes"].members
            ),
            "the membership",
        )
        successor.kill()
        wait_for(lambda: self.system.owner() is former, "another takeover")
        submit(former, "s2", 2)
        self.assert_complete(wait_results(former, "s2", 2), 5)

    def test_owner_goes_on_while_nobody_reaches_the_store(self) -> None:
        self.slow_down(*self.engines)
        owner = self.owner()
        runs = self.start_step("s1")
        self.system.store.mode = StoreMode.RESET
        asked_before = sum(engine.reports for engine in self.engines)
        wait_for(lambda: all(run.complete for run in runs), "the end of the runs")
        # The owner did look for a new owner meanwhile.
        asked = sum(engine.reports for engine in self.engines) - asked_before
        self.assertGreater(asked, len(self.engines))
        self.system.store.mode = StoreMode.UP
        self.assert_complete(wait_results(owner, "s1", ITEMS), EVENTS)
        self.assertEqual(owner.events("ownership_superseded"), [])
        for number in range(ITEMS):
            self.assertEqual(len(self.system.all_runs(f"s1-{number}")), 1)
