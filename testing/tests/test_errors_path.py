"""Test the documented errors, and the status, events and metrics endpoints."""

import json
import tempfile
import unittest
from http.client import HTTPConnection
from pathlib import Path
from typing import Any
from urllib import request

from fulmarpulley_testing.node_system import NodeSystem, Reply, http
from fulmarpulley_testing.processes import set_faults, wait_for

SERVICE = "ticket-desk"


class ErrorsTest(unittest.TestCase):
    system: NodeSystem
    nodes: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        system = NodeSystem(folder, partitions=2)
        cls.system = cls.enterClassContext(system)
        system.start_platform()
        system.start_stand_in("plain", "plain_service")
        cls.nodes = system.start_nodes(2)
        document = {
            "name": SERVICE,
            "kind": "desk",
            "model": "m",
            "upstreams": [system.upstream_entry("plain", dialect="plain", capacity=1)],
            "classes": [{"name": "clerks", "share": 2}],
            "limits": {"body_bytes": 2000, "queue": 2},
            "retries": {"attempts": 1},
        }
        reply = system.publish(cls.nodes[0], document)
        system.wait_revision(cls.nodes, SERVICE, reply.body["revision"])
        empty = {"name": "empty-desk", "kind": "desk", "model": "m", "upstreams": []}
        reply = system.publish(cls.nodes[0], empty)
        system.wait_revision(cls.nodes, "empty-desk", reply.body["revision"])

    def post(self, body: Any, service: str = SERVICE) -> Reply:
        base = self.system.url(self.nodes[0])
        return http(f"{base}/v1/services/{service}/requests", "POST", body)

    def check_error(
        self, reply: Reply, status: int, code: str, ran: str = "not_run"
    ) -> None:
        found = (reply.status, reply.body["code"], reply.body["ran"])
        self.assertEqual(found, (status, code, ran), reply.body)

    def test_malformed_bodies_are_refused_with_all_findings(self) -> None:
        for body in (b"", b"{", b"[]", b"\xff", b"[" * 5000, b'{"input": NaN}'):
            reply = self.post(body[:1900])
            self.check_error(reply, 400, "bad_request")
            self.assertTrue(reply.body["findings"])
        several = {"max_tokens": 0, "priority": 99, "surprise": 1}
        reply = self.post(several)
        self.check_error(reply, 400, "bad_request")
        self.assertGreaterEqual(len(reply.body["findings"]), 4)

    def test_surrogate_in_input_is_refused(self) -> None:
        # Fails when a node accepts a surrogate, which it cannot encode as UTF-8 later.
        reply = self.post(b'{"input": "\\ud800"}')
        self.check_error(reply, 400, "bad_request")
        self.assertTrue(reply.body["findings"])

    def test_oversize_body_is_refused(self) -> None:
        self.check_error(self.post({"input": "x" * 3000}), 413, "too_large")

    def test_endless_body_is_refused_at_the_limit(self) -> None:
        # Fails when a node buffers a body without Content-Length beyond the limit.
        connection = HTTPConnection("127.0.0.1", self.system.ports[self.nodes[0]])
        chunks = (b"x" * 1000 for _ in range(50))
        path = f"/v1/services/{SERVICE}/requests"
        try:
            connection.request("POST", path, body=chunks, encode_chunked=True)
        except ConnectionError:
            return
        self.assertEqual(connection.getresponse().status, 413)
        connection.close()

    def test_unknown_names_are_refused(self) -> None:
        self.check_error(self.post({"input": "x"}, "nothing"), 404, "unknown_service")
        reply = self.post({"input": "x", "class_name": "kings"})
        self.check_error(reply, 400, "bad_request")
        self.assertEqual(reply.body["findings"][0]["path"], "$.class_name")
        base = self.system.url(self.nodes[0])
        for path in ("/v1/documents/none", "/v1/documents/none/history"):
            self.check_error(http(base + path), 404, "unknown_service")
        step = f"{base}/v1/services/{SERVICE}/trainers/t/steps/1"
        step_body = {"groups": [{"prompt": "p"}], "samples_per_group": 1, "version": 1}
        self.check_error(http(step, "PUT", step_body), 400, "bad_request")

    def test_service_without_upstreams_refuses_as_not_run(self) -> None:
        reply = self.post({"input": "x", "deadline_s": 1}, "empty-desk")
        self.assertIn(reply.body["code"], {"no_upstream", "deadline_passed"})
        self.assertEqual(reply.body["ran"], "not_run")

    def test_deadline_while_running_may_have_run(self) -> None:
        set_faults(self.system.ports["plain"], delay_s=3.0)
        try:
            reply = self.post({"input": "slow", "deadline_s": 0.5})
        finally:
            set_faults(self.system.ports["plain"], delay_s=0.0)
        self.check_error(reply, 504, "deadline_passed", "may_have_run")

    def test_upstream_error_is_reported(self) -> None:
        set_faults(self.system.ports["plain"], errors=1)
        self.check_error(self.post({"input": "e"}), 502, "upstream_error", "ran")

    def test_wrong_paths_and_methods_leave_node_alive(self) -> None:
        base = self.system.url(self.nodes[0])
        for path in ("/", "/v1/services//requests", "/v1/nothing/%00"):
            self.check_error(http(base + path), 400, "bad_request")
        self.assertEqual(http(f"{base}/live").status, 200)

    def test_status_lists_all_nodes_when_one_does_not_answer(self) -> None:
        suspended = self.system.processes.by_name[self.nodes[1]]
        url = f"{self.system.url(self.nodes[0])}/v1/status"
        nodes = http(url).body["nodes"]
        self.assertEqual([node["node_id"] for node in nodes], self.nodes)
        self.assertTrue(all(node["ready"] and not node["problem"] for node in nodes))
        suspended.suspend()
        try:
            nodes = {node["node_id"]: node for node in http(url).body["nodes"]}
        finally:
            suspended.resume()
        self.assertIn("no answer", nodes[self.nodes[1]]["problem"])
        wait_for(
            lambda: all(node["ready"] for node in http(url).body["nodes"]), "recovery"
        )

    def test_events_stream_log_events(self) -> None:
        url = f"{self.system.url(self.nodes[0])}/v1/events"
        with request.urlopen(url, timeout=30) as answer:
            lines = [answer.readline() for _ in range(2)]
        self.assertEqual(lines[0], b"event: event\n")
        event = json.loads(lines[1].removeprefix(b"data: "))
        self.assertEqual(event["node"], self.nodes[0])

    def test_metrics_have_histograms_by_class(self) -> None:
        reply = self.post({"input": "m", "class_name": "clerks"})
        self.assertEqual(reply.status, 200, reply.body)
        pages = ""
        for node in self.nodes:
            url = f"{self.system.url(node)}/metrics"
            with request.urlopen(url, timeout=30) as answer:
                pages += answer.read().decode()
        for name in ("queue_wait", "first_token", "total"):
            metric_prefix = f"fulmarpulley_{name}_seconds_bucket"
            lines = [
                line for line in pages.splitlines() if line.startswith(metric_prefix)
            ]
            self.assertTrue(any('tenant="clerks"' in line for line in lines), name)
