"""Test documents, requests, streams and steps end to end over three nodes."""

import base64
import tempfile
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_testing import tokens
from fulmarpulley_testing.node_system import NodeSystem, http, stream

GROUPS = 3
SAMPLES_PER_GROUP = 4


def bitmap(held: set[int]) -> str:
    bits = sum(1 << slot for slot in held)
    return base64.b64encode(bits.to_bytes(4, "little")).decode()


class ThinPathTest(unittest.TestCase):
    system: NodeSystem
    nodes: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.system = cls.enterClassContext(NodeSystem(Path(folder)))
        cls.system.start_platform()
        for name in ("engine-0", "engine-1"):
            cls.system.start_engine(name, "--tokens-per-s", "2000", "--version", "1")
        cls.nodes = cls.system.start_nodes(3)
        for document in (cls.desk_document(), cls.training_document()):
            reply = cls.system.publish(cls.nodes[0], document)
            if reply.status != 200:
                raise AssertionError(reply.body)
            revision = reply.body["revision"]
            cls.system.wait_revision(cls.nodes, document["name"], revision)

    @classmethod
    def desk_document(cls) -> dict[str, Any]:
        upstreams = [cls.system.upstream_entry("engine-0")]
        return {
            "name": "trial-desk",
            "kind": "desk",
            "model": "model",
            "upstreams": upstreams,
        }

    @classmethod
    def training_document(cls) -> dict[str, Any]:
        upstreams = [cls.system.upstream_entry("engine-1")]
        return {
            "name": "comfort-llm",
            "kind": "training",
            "model": "model",
            "trainers": [{"id": "feedback"}],
            "upstreams": upstreams,
        }

    def url(self, node: str, service: str) -> str:
        return f"{self.system.url(node)}/v1/services/{service}"

    def test_request_at_any_node_gets_complete_answer(self) -> None:
        # Fails when a node that is not the pool home does not forward the request.
        for node in self.nodes:
            body = {"input": f"hello from {node}", "max_tokens": 20}
            url = f"{self.url(node, 'trial-desk')}/requests"
            reply = http(url, "POST", body)
            self.assertEqual(reply.status, 200, reply.body)
            parsed = tokens.parse(reply.body["text"])
            assert parsed is not None
            self.assertEqual(reply.body["count"], len(parsed))
            self.assertEqual(
                reply.body["spans"], [{"version": 1, "tokens": len(parsed)}]
            )
            self.assertEqual(
                {token.prompt_hash for token in parsed},
                {tokens.prompt_hash(body["input"])},
            )

    def test_streamed_request_gets_each_token_and_end(self) -> None:
        # Fails when tokens are lost, duplicated or reordered between nodes.
        for node in self.nodes:
            body = {"input": f"stream {node}", "max_tokens": 40, "stream": True}
            events = stream(f"{self.url(node, 'trial-desk')}/requests", body)
            names = [name for name, _ in events]
            count = len(events) - 1
            self.assertEqual(names, ["token"] * count + ["end"])
            self.assertEqual(events[-1][1]["count"], count)
            indexes = [data["index"] for _, data in events[:-1]]
            self.assertEqual(indexes, list(range(count)))

    def test_trainer_takes_each_sample_of_step_once(self) -> None:
        # Fails when a slot is lost or delivered twice, or the step stays open.
        step = f"{self.url(self.nodes[1], 'comfort-llm')}/trainers/feedback/steps/1"
        groups = [{"prompt": f"prompt {number}"} for number in range(GROUPS)]
        step_body = {
            "groups": groups,
            "samples_per_group": SAMPLES_PER_GROUP,
            "version": 1,
        }
        self.assertEqual(http(step, "PUT", step_body).status, 200)
        held: set[int] = set()
        for _ in range(100):
            take = {"version": 1, "held": bitmap(held), "wait_s": 5}
            reply = http(f"{step}/take", "POST", take)
            self.assertEqual(reply.status, 200, reply.body)
            for sample in reply.body["samples"]:
                self.assertNotIn(sample["slot"], held)
                held.add(sample["slot"])
                versions = [span["version"] for span in sample["spans"]]
                self.assertEqual(versions, [1])
            if len(held) == GROUPS * SAMPLES_PER_GROUP:
                break
        self.assertEqual(held, set(range(GROUPS * SAMPLES_PER_GROUP)))
        self.assertEqual(http(step, "DELETE").status, 200)
        again = http(f"{step}/take", "POST", {"version": 1, "held": bitmap(held)})
        self.assertEqual((again.status, again.body["code"]), (404, "unknown_step"))
