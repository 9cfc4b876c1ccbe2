"""Test that requests and samples in progress survive a graceful shutdown."""

import base64
import signal
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_testing import tokens
from fulmarpulley_testing.node_system import NodeSystem, http, stream
from fulmarpulley_testing.processes import wait_for

DESK, TRAINING = "ticket-desk", "note-drafters"


def bitmap(held: set[int]) -> str:
    bits = sum(1 << slot for slot in held)
    return base64.b64encode(bits.to_bytes(8, "little")).decode()


class ShutdownTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        membership = {"period_s": 0.4, "probe_timeout_s": 0.2}
        self.system = self.enterContext(
            NodeSystem(folder, membership=membership, partitions=2)
        )
        self.system.start_platform()
        names = ["engine-0", "engine-1"]
        for name in names:
            self.system.start_engine(name, "--tokens-per-s", "40", "--version", "1")
        self.nodes = self.system.start_nodes(2)
        # Each service has its own engine, since only one service can hold an upstream.
        upstreams = [self.system.upstream_entry(name, capacity=4) for name in names]
        desk = {"name": DESK, "kind": "desk", "upstreams": upstreams[:1]}
        self.publish(desk | {"model": "model"})
        training = {"name": TRAINING, "kind": "training", "upstreams": upstreams[1:]}
        self.publish(training | {"model": "model", "trainers": [{"id": "t"}]})

    def publish(self, document: dict[str, Any]) -> None:
        reply = self.system.publish(self.nodes[0], document)
        self.assertEqual(reply.status, 200, reply.body)
        revision = reply.body["revision"]
        self.system.wait_revision(self.nodes, document["name"], revision)

    def start_streams(self, count: int) -> list[list[tuple[str, Any]]]:
        answers: list[list[tuple[str, Any]]] = []
        for number in range(count):
            node = self.nodes[number % 2]
            url = f"{self.system.url(node)}/v1/services/{DESK}/requests"
            body = {"input": f"in {number}", "max_tokens": 100, "stream": True}
            threading.Thread(
                target=lambda u=url, b=body: answers.append(stream(u, b)), daemon=True
            ).start()

        def running() -> bool:
            status = http(f"{self.system.url(self.nodes[0])}/v1/status").body
            pools = [pool for node in status["nodes"] for pool in node["pools"]]
            desks = [pool for pool in pools if pool["service"] == DESK]
            work = sum(pool["in_flight"] + pool["queued"] for pool in desks)
            return work >= count or len(answers) + work >= count

        wait_for(running, "start of the requests")
        return answers

    def pool_home(self) -> str:
        status = http(f"{self.system.url(self.nodes[0])}/v1/status").body
        for node in status["nodes"]:
            if any(pool["service"] == DESK for pool in node["pools"]):
                return str(node["node_id"])
        raise AssertionError("no node is the pool home")

    def test_stopped_node_interrupts_no_request(self) -> None:
        # Fails when a leaving node interrupts work that it queues, runs or forwards.
        leaving_node = self.pool_home()
        answers = self.start_streams(12)
        process = self.system.processes.by_name[leaving_node]
        process.terminate()
        wait_for(lambda: len(answers) == 12, "ends of all requests")
        self.assertEqual(process.wait(), 0)
        for events in answers:
            self.assertEqual(events[-1][0], "end", events[-1])
            count = events[-1][1]["count"]
            text = "".join(data["text"] for _, data in events[:-1])
            parsed = tokens.parse(text)
            assert parsed is not None
            self.assertEqual([t.position for t in parsed], list(range(count)))

    def test_leaving_node_reports_not_ready_and_still_accepts(self) -> None:
        leaving_node, other = self.nodes
        self.system.processes.by_name[leaving_node].kill()
        process = self.system.start_node(leaving_node, balancer_lag_s=30.0)
        self.system.wait_ready(leaving_node)
        process.terminate()
        ready = f"{self.system.url(leaving_node)}/ready"
        wait_for(lambda: http(ready).status == 503, "not ready")
        url = f"{self.system.url(leaving_node)}/v1/services/{DESK}/requests"
        reply = http(url, "POST", {"input": "late", "max_tokens": 4})
        self.assertEqual(reply.status, 200, reply.body)

        def seen_leaving() -> bool:
            status = http(f"{self.system.url(other)}/v1/status").body
            states = {node["node_id"]: node["state"] for node in status["nodes"]}
            return states.get(leaving_node) == "leaving"

        wait_for(seen_leaving, "propagation of the leaving state")
        process.signal(signal.SIGTERM)
        self.assertEqual(process.wait(), 0)

    def test_finished_samples_go_to_next_step_home(self) -> None:
        # Fails when a step is lost with its home in a graceful shutdown.
        node = self.nodes[0]
        path = f"/v1/services/{TRAINING}/trainers/t/steps/1"
        groups = [{"prompt": f"p{number}"} for number in range(12)]
        step_body = {"groups": groups, "samples_per_group": 1, "version": 1}
        url = self.system.url(node) + path
        self.assertEqual(http(url, "PUT", step_body | {"max_tokens": 20}).status, 200)

        def finished_count() -> int:
            logs = [p.read_text() for p in self.system.folder.glob("node-*.log")]
            return sum(log.count("event=work_finished") for log in logs)

        wait_for(lambda: finished_count() >= 12, "samples")
        homes = [name for name in self.nodes if self.has_opened_step(name)]
        self.assertEqual(len(homes), 1)
        process = self.system.processes.by_name[homes[0]]
        process.terminate()
        self.assertEqual(process.wait(), 0)
        survivor = next(name for name in self.nodes if name != homes[0])
        take = {"version": 1, "held": "", "wait_s": 1, "max_samples": 64}
        reply = http(f"{self.system.url(survivor)}{path}/take", "POST", take)
        self.assertEqual(reply.status, 200, reply.body)
        self.assertEqual(len(reply.body["samples"]), 12)
        self.assertEqual(finished_count(), 12)

    def has_opened_step(self, name: str) -> bool:
        log = (self.system.folder / f"{name}.log").read_text()
        return "event=step_opened" in log
