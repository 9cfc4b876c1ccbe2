"""Test answers to requests with hedged attempts."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from fulmarpulley_testing import tokens
from fulmarpulley_testing.node_system import NodeSystem, http, stream
from fulmarpulley_testing.processes import set_faults

SERVICE = "ticket-desk"
LIMIT = 60


class HedgeTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.system = self.enterContext(NodeSystem(folder, partitions=1))
        self.system.start_platform()
        for name in ("engine-0", "engine-1"):
            self.system.start_engine(name, "--tokens-per-s", "300", "--version", "1")
        self.nodes = self.system.start_nodes(2)
        names = ("engine-0", "engine-1")
        document = {
            "name": SERVICE,
            "kind": "desk",
            "model": "model",
            "upstreams": [self.system.upstream_entry(name) for name in names],
            "hedges": {"budget_ratio": 1.0, "desk": True},
            "stall_s": 3,
        }
        reply = self.system.publish(self.nodes[0], document)
        self.system.wait_revision(self.nodes, SERVICE, reply.body["revision"])

    def url(self, number: int) -> str:
        node = self.nodes[number % 2]
        return f"{self.system.url(node)}/v1/services/{SERVICE}/requests"

    def check_answer(self, text: str, answer: str, count: int) -> None:
        parsed = tokens.parse(answer)
        assert parsed is not None
        self.assertEqual([token.position for token in parsed], list(range(count)))
        self.assertEqual(count, tokens.generation_length(text, 0, LIMIT))
        hashes = {token.prompt_hash for token in parsed}
        self.assertEqual(hashes, {tokens.prompt_hash(text)})

    def test_answers_are_complete_when_one_engine_hangs(self) -> None:
        # Fails when an answer mixes the tokens of two attempts.
        for number in range(24):
            if number == 12:
                set_faults(self.system.ports["engine-0"], hang=True)
            body: dict[str, Any] = {"input": f"in {number}", "max_tokens": LIMIT}
            if number % 2:
                reply = http(self.url(number), "POST", body)
                self.assertEqual(reply.status, 200, reply.body)
                self.check_answer(
                    body["input"], reply.body["text"], reply.body["count"]
                )
            else:
                events = stream(self.url(number), body | {"stream": True})
                self.assertEqual(events[-1][0], "end", events[-1])
                text = "".join(data["text"] for _, data in events[:-1])
                self.check_answer(body["input"], text, events[-1][1]["count"])
