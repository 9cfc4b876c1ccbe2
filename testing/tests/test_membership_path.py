"""Test membership, and leaving upstreams, when nodes or the instance list fail."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_testing.node_system import NodeSystem, http
from fulmarpulley_testing.processes import set_faults, wait_for

SERVICE = "ticket-desk"


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        membership = {"period_s": 0.4, "probe_timeout_s": 0.2}
        self.system = self.enterContext(
            NodeSystem(folder, membership=membership, partitions=1)
        )
        self.system.start_platform()
        self.nodes = self.system.start_nodes(3)

    def status(self, node: str) -> dict[str, Any]:
        nodes = http(f"{self.system.url(node)}/v1/status").body["nodes"]
        return {item["node_id"]: item for item in nodes}

    def pool_homes(self, nodes: list[str]) -> list[str]:
        """Return the nodes that report themselves as home of the pool."""
        found = []
        for node in nodes:
            url = f"{self.system.url(node)}/v1/status?node=self"
            pools = http(url).body["nodes"][0]["pools"]
            found += [node for pool in pools if pool["service"] == SERVICE]
        return found

    def publish(self, names: list[str], base: int = 0, **fields: Any) -> int:
        upstreams = [
            self.system.upstream_entry(n, dialect="plain", **fields) for n in names
        ]
        document = {"name": SERVICE, "kind": "desk", "model": "m"}
        reply = self.system.publish(
            self.nodes[0], document | {"upstreams": upstreams}, base
        )
        self.assertEqual(reply.status, 200, reply.body)
        revision = int(reply.body["revision"])
        alive = [n for n in self.nodes if self.system.processes.by_name[n].running()]
        self.system.wait_revision(alive, SERVICE, revision)
        return revision

    def send_request(self, node: str, text: str) -> str:
        url = f"{self.system.url(node)}/v1/services/{SERVICE}/requests"
        reply = http(url, "POST", {"input": text})
        self.assertEqual(reply.status, 200, reply.body)
        return str(reply.body["upstream"])

    def test_dead_node_is_removed_and_its_pool_moves(self) -> None:
        self.system.start_stand_in("plain-0", "plain_service")
        self.publish(["plain-0"])
        wait_for(lambda: len(self.pool_homes(self.nodes)) == 1, "pool home")
        home = self.pool_homes(self.nodes)[0]
        others = [node for node in self.nodes if node != home]
        self.system.processes.by_name[home].kill()
        self.send_request(others[0], "at once")
        wait_for(lambda: all(home not in self.status(node) for node in others), "death")
        wait_for(lambda: len(self.pool_homes(others)) == 1, "next pool home")

    def test_restarted_node_is_a_member_again(self) -> None:
        # Fails when members still consider a restarted node dead.
        restarted, other = self.nodes[:2]
        self.system.processes.by_name[restarted].kill()
        wait_for(lambda: restarted not in self.status(other), "death")
        self.system.start_node(restarted)
        self.system.wait_ready(restarted)

        def alive() -> bool:
            state = self.status(other).get(restarted)
            return state is not None and state["ready"] is True

        wait_for(alive, "return")

    def test_suspended_node_is_a_member_again_after_resuming(self) -> None:
        suspended, other = self.nodes[:2]
        process = self.system.processes.by_name[suspended]
        process.suspend()
        wait_for(lambda: suspended not in self.status(other), "death")
        process.resume()

        def alive() -> bool:
            state = self.status(other).get(suspended)
            return state is not None and state["state"] == "alive"

        wait_for(alive, "return")
        url = f"{self.system.url(suspended)}/v1/status?node=self"
        self.assertTrue(http(url).body["nodes"][0]["ready"])

    def test_members_stay_during_instance_list_outage(self) -> None:
        set_faults(self.system.ports["list"], outage=True)
        self.system.start_stand_in("plain-0", "plain_service")
        self.publish(["plain-0"])
        for node in self.nodes:
            self.assertEqual(len(self.status(node)), 3)
            self.assertEqual(self.send_request(node, node), "plain-0")

    def test_upstream_that_leaves_by_list_or_document_gets_no_new_work(self) -> None:
        for name in ("plain-0", "plain-1"):
            self.system.start_stand_in(name, "plain_service")
            self.system.list_instance(name, kind="upstream")
        revision = self.publish(["plain-0", "plain-1"])
        self.system.list_instance("plain-0", kind="upstream", state="leaving")

        def state_of(upstream: str) -> str:
            for item in self.status(self.nodes[0]).values():
                for pool in item["pools"]:
                    for found in pool["upstreams"]:
                        if found["id"] == upstream:
                            return str(found["state"])
            return ""

        wait_for(lambda: state_of("plain-0") == "leaving", "leaving by the list")
        for number in range(6):
            node = self.nodes[number % 3]
            self.assertEqual(self.send_request(node, f"a {number}"), "plain-1")
        self.system.list_instance("plain-0", kind="upstream")
        wait_for(lambda: state_of("plain-0") == "available", "return by the list")
        self.publish(["plain-0"], revision)
        for number in range(6):
            node = self.nodes[number % 3]
            self.assertEqual(self.send_request(node, f"b {number}"), "plain-0")
