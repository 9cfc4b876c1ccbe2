"""Test service documents under log outages, lost answers and concurrent edits."""

import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_testing.node_system import NodeSystem, Reply, http
from fulmarpulley_testing.processes import call, free_ports, set_faults, wait_for

SERVICE = "trial-desk"


def document(**fields: Any) -> dict[str, Any]:
    defaults = {"name": SERVICE, "kind": "desk", "model": "m", "upstreams": []}
    return defaults | fields


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.system = self.enterContext(NodeSystem(Path(folder)))
        self.system.start_platform()
        self.log = self.system.ports["log"]

    def url(self, node: str, path: str = "") -> str:
        return f"{self.system.url(node)}/v1/documents/{SERVICE}{path}"

    def publish(self, node: str, base: int, record: str = "", **fields: Any) -> Reply:
        return self.system.publish(node, document(**fields), base, record)

    def test_node_that_starts_in_log_outage_gets_documents_from_peers(self) -> None:
        first, second = self.system.start_nodes(2)
        revision = self.publish(first, 0).body["revision"]
        set_faults(self.log, outage=True)
        self.system.start_node("late")
        self.system.wait_ready("late")
        self.system.wait_revision([second, "late"], SERVICE, revision)
        self.assertEqual(http(self.url("late")).body["revision"], revision)

    def test_node_without_log_and_peers_is_not_ready(self) -> None:
        # Fails when a restarted node reports existing services as unknown.
        set_faults(self.log, outage=True)
        self.system.start_node("node-0")
        live = f"{self.system.url('node-0')}/live"
        self.system.processes.wait_ready("node-0", live)
        ready = http(f"{self.system.url('node-0')}/ready")
        self.assertEqual((ready.status, ready.body["code"]), (503, "not_ready"))
        path = f"{self.system.url('node-0')}/v1/services/{SERVICE}/requests"
        refused = http(path, "POST", {"input": "x"})
        self.assertEqual((refused.status, refused.body["code"]), (503, "not_ready"))
        set_faults(self.log, outage=False)
        self.system.wait_ready("node-0")

    def test_edit_whose_append_answer_is_lost_is_accepted_once(self) -> None:
        node = self.system.start_nodes(1)[0]
        set_faults(self.log, lose_answers=1)
        reply = self.publish(node, 0, "edit-1")
        self.assertEqual((reply.status, reply.body["outcome"]), (200, "accepted"))
        again = self.publish(node, 0, "edit-1")
        self.assertEqual(again.body["revision"], reply.body["revision"])
        entries = http(self.url(node, "/history")).body["entries"]
        self.assertEqual([entry["record_id"] for entry in entries], ["edit-1"])

    def test_edit_in_log_outage_reports_not_run(self) -> None:
        node = self.system.start_nodes(1)[0]
        set_faults(self.log, outage=True)
        body = self.publish(node, 0).body
        self.assertEqual((body["code"], body["ran"]), ("log_unavailable", "not_run"))
        self.assertGreater(body["retry_after_s"], 0)

    def test_concurrent_edits_accept_one_and_report_it_to_the_others(self) -> None:
        nodes = self.system.start_nodes(3)
        replies: dict[str, Reply] = {}

        def edit(node: str) -> None:
            replies[node] = self.publish(node, 0, f"by-{node}", model=node)

        threads = [threading.Thread(target=edit, args=(node,)) for node in nodes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        statuses = sorted(reply.status for reply in replies.values())
        self.assertEqual(statuses, [200, 409, 409])
        winner = next(n for n, r in replies.items() if r.status == 200)
        revision = replies[winner].body["revision"]
        for node in nodes:
            if node != winner:
                body = replies[node].body
                self.assertEqual((body["code"], body["ran"]), ("conflict", "not_run"))
                self.assertIn(f"revision {revision}", body["message"])
            self.system.wait_revision([node], SERVICE, revision)
            self.assertEqual(http(self.url(node)).body["document"]["model"], winner)

    def test_edit_reaches_node_whose_log_connection_went_silent(self) -> None:
        # Fails when a node waits forever on a connection that no longer carries data.
        port, control = free_ports(2)
        arguments = ("--port", port, "--target-port", self.log)
        arguments = (*arguments, "--control-port", control)
        self.system.ports["proxy"] = control
        module = "fulmarpulley_testing.fault_proxy"
        self.system.processes.start("proxy", module, *map(str, arguments))
        control_url = self.system.url("proxy")
        self.system.processes.wait_ready("proxy", f"{control_url}/control/ready")
        log = {"address": f"http://127.0.0.1:{port}", "timeout_s": 1.0}
        self.system.start_node("alone", log=log)
        self.system.wait_ready("alone")
        call(f"{control_url}/control/silence", "POST", {})
        reply = self.publish("alone", 0, "edit-1")
        wait_for(lambda: self.publish("alone", 0, "edit-1").status == 200, "edit")
        self.assertIn(reply.status, {200, 503})
        revision = http(self.url("alone")).body["revision"]
        self.system.wait_revision(["alone"], SERVICE, revision)

    def test_document_survives_expiry_of_its_change(self) -> None:
        # Fails when a document is lost after its record has expired from the log.
        budget = {"retention_s": 1.0}
        self.system.start_node("old", log_budget=budget)
        self.system.wait_ready("old")
        revision = self.publish("old", 0).body["revision"]
        records = f"{self.system.url('log')}/streams/config/records?from=1&max=100"
        wait_for(lambda: call(records)["next"] > 3, "snapshots")
        set_faults(self.log, retain_count=1)
        wait_for(lambda: int(call(records)["first"]) > revision, "expiry")
        self.system.processes.by_name["old"].kill()
        self.system.start_node("new", log_budget=budget)
        self.system.wait_ready("new")
        self.assertEqual(http(self.url("new")).body["revision"], revision)
        newer = self.publish("new", revision, "edit-2", model="newer")
        self.assertEqual(newer.status, 200, newer.body)

    def test_faulty_documents_are_refused_with_all_findings(self) -> None:
        node = self.system.start_nodes(1)[0]
        entry = {
            "id": "u",
            "address": "ftp://x",
            "data_centre": "d",
            "region": "r",
            "capacity": 0,
        }
        body = self.publish(node, 0, upstreams=[entry], surprise=1).body
        self.assertEqual((body["code"], body["ran"]), ("bad_request", "not_run"))
        paths = {finding["path"] for finding in body["findings"]}
        expected = {"$", "$.upstreams[0].address", "$.upstreams[0].capacity"}
        self.assertEqual(paths, expected)
        other = self.publish(node, 0, name=SERVICE, upstreams=[])
        self.assertEqual(other.status, 200, other.body)
