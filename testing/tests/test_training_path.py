"""Test the version labels, staleness and scores of samples, and weight versions."""

import base64
import tempfile
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_testing.history import HistoryReader, OrderHandled
from fulmarpulley_testing.node_system import NodeSystem, Reply, http
from fulmarpulley_testing.processes import set_faults, wait_for

SERVICE = "comfort-llm"


def bitmap(held: set[int]) -> str:
    bits = sum(1 << slot for slot in held)
    return base64.b64encode(bits.to_bytes(8, "little")).decode()


class TrainingTest(unittest.TestCase):
    folder: Path
    system: NodeSystem
    nodes: list[str]
    step = 0

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.system = cls.enterClassContext(NodeSystem(cls.folder, partitions=1))
        cls.system.start_platform()
        cls.system.start_stand_in("scorer", "scorer")
        for name in ("engine-0", "engine-1", "engine-2"):
            arguments = ("--version", "1", "--swap-s", "0.1", "--checks-fencing")
            cls.system.start_engine(name, "--tokens-per-s", "500", *arguments)
        cls.nodes = cls.system.start_nodes(3)
        names = ("engine-0", "engine-1", "engine-2")
        document = {
            "name": SERVICE,
            "kind": "training",
            "model": "model",
            "trainers": [{"id": "t", "staleness_bound": 1}],
            "upstreams": [
                cls.system.upstream_entry(n, checks_fencing=True) for n in names
            ],
            "weights": {"swap_s": 0.1, "swaps_at_once": 1},
            "scoring": {"address": cls.system.url("scorer"), "timeout_s": 2},
        }
        reply = cls.system.publish(cls.nodes[0], document)
        if reply.status != 200:
            raise AssertionError(reply.body)
        cls.system.wait_revision(cls.nodes, SERVICE, reply.body["revision"])

    def url(self, path: str, node: int = 0) -> str:
        base = self.system.url(self.nodes[node])
        return f"{base}/v1/services/{SERVICE}/trainers/t/{path}"

    def announce(self, version: int, node: int = 0) -> Reply:
        return http(self.url("versions", node), "POST", {"version": version})

    def served_versions(self) -> set[int]:
        versions = set()
        for name in ("engine-0", "engine-1", "engine-2"):
            load = http(f"{self.system.url(name)}/v1/load").body
            versions.add(load["versions"].get("model"))
        return versions

    def run_step(self, version: int, samples: int = 6) -> list[dict[str, Any]]:
        type(self).step += 1
        step = f"steps/{self.step}"
        groups = [{"prompt": f"{self.step}/{g}"} for g in range(samples)]
        step_body = {"groups": groups, "samples_per_group": 1, "version": version}
        self.assertEqual(http(self.url(step), "PUT", step_body).status, 200)
        taken: dict[int, dict[str, Any]] = {}
        for _ in range(100):
            body = {"version": version, "held": bitmap(set(taken)), "wait_s": 2}
            reply = http(self.url(f"{step}/take", self.step % 3), "POST", body)
            self.assertEqual(reply.status, 200, reply.body)
            for sample in reply.body["samples"]:
                taken[sample["slot"]] = sample
            if len(taken) == samples:
                break
        self.assertEqual(set(taken), set(range(samples)))
        return list(taken.values())

    def test_1_samples_are_scored(self) -> None:
        for sample in self.run_step(1):
            self.assertIsNotNone(sample["score"])
            spans = [span["version"] for span in sample["spans"]]
            self.assertEqual(spans, [1])
            self.assertEqual(sample["spans"][0]["tokens"], sample["count"])

    def test_2_announced_version_reaches_all_engines_with_one_fence(self) -> None:
        self.assertEqual(self.announce(2, node=1).status, 200)
        wait_for(lambda: self.served_versions() == {2}, "version 2 on all engines")
        orders = HistoryReader(self.folder).read()
        fences = {o.fence for o in orders if isinstance(o, OrderHandled)}
        self.assertEqual(len(fences), 1)
        self.assertGreater(min(fences), 0)

    def test_3_failed_swap_is_retried(self) -> None:
        set_faults(self.system.ports["engine-0"], failed_swaps=1)
        self.assertEqual(self.announce(3).status, 200)
        wait_for(lambda: self.served_versions() == {3}, "version 3 on all engines")

    def test_4_samples_are_within_bound_of_trainers_version(self) -> None:
        # Fails when only the version of the first tokens is checked before delivery.
        for sample in self.run_step(3):
            oldest = min(span["version"] for span in sample["spans"])
            self.assertGreaterEqual(oldest, 2)

    def test_5_samples_wait_for_scoring_service(self) -> None:
        set_faults(self.system.ports["scorer"], errors=1_000_000)
        type(self).step += 1
        step = f"steps/{self.step}"
        step_body = {"groups": [{"prompt": "x"}], "samples_per_group": 1, "version": 3}
        self.assertEqual(http(self.url(step), "PUT", step_body).status, 200)
        body = {"version": 3, "held": "", "wait_s": 1}
        self.assertEqual(
            http(self.url(f"{step}/take"), "POST", body).body["samples"], []
        )
        set_faults(self.system.ports["scorer"], errors=0)

        def arrived() -> bool:
            return bool(http(self.url(f"{step}/take"), "POST", body).body["samples"])

        wait_for(arrived, "scored sample")

    def test_6_versions_survive_log_outage(self) -> None:
        # Fails when an announcement needs the log.
        set_faults(self.system.ports["log"], outage=True)
        self.assertEqual(self.announce(4, node=2).status, 200)
        wait_for(lambda: self.served_versions() == {4}, "version 4 on all engines")
        set_faults(self.system.ports["log"], outage=False)
        records = f"{self.system.url('log')}/streams/versions/records?from=1&max=100"
        wait_for(
            lambda: any(
                '"version":4' in r["data"] for r in http(records).body["records"]
            ),
            "version 4 on the log",
        )

    def test_7_tokens_without_version_yield_no_sample(self) -> None:
        # Fails when a sample is delivered with a version that no engine reported.
        for name in ("engine-0", "engine-1", "engine-2"):
            set_faults(self.system.ports[name], hide_versions=True)
        type(self).step += 1
        step = f"steps/{self.step}"
        step_body = {"groups": [{"prompt": "y"}], "samples_per_group": 1, "version": 4}
        self.assertEqual(http(self.url(step), "PUT", step_body).status, 200)
        body = {"version": 4, "held": "", "wait_s": 2}
        reply = http(self.url(f"{step}/take"), "POST", body)
        self.assertEqual((reply.status, reply.body["samples"]), (200, []))
        self.assertEqual(http(self.url(step), "DELETE").status, 200)

    def test_8_malformed_requests_are_refused(self) -> None:
        step_body = {"groups": [{"prompt": "z"}], "samples_per_group": 1, "version": 4}
        cases: list[tuple[str, str, Any, int, str]] = [
            ("steps/900", "PUT", step_body | {"held": "%%"}, 400, "bad_request"),
            ("steps/900", "PUT", step_body | {"held": "/w=="}, 400, "bad_request"),
            ("steps/900", "PUT", {"groups": []}, 400, "bad_request"),
            ("steps/x", "PUT", step_body, 400, "bad_request"),
            ("steps/901/take", "POST", {"version": 1, "held": ""}, 404, "unknown_step"),
            ("versions", "POST", {"version": -1}, 400, "bad_request"),
        ]
        for path, method, body, status, code in cases:
            reply = http(self.url(path), method, body)
            found = (reply.status, reply.body["code"], reply.body["ran"])
            self.assertEqual(found, (status, code, "not_run"), (path, body))
