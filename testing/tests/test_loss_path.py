"""Test that work in progress survives the loss of nodes and upstreams."""

import base64
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any, NamedTuple

from fulmarpulley_core.ids import NodeId, Region
from fulmarpulley_core.placement import home_of
from fulmarpulley_testing import tokens
from fulmarpulley_testing.node_system import NodeSystem, http, stream
from fulmarpulley_testing.processes import set_faults, wait_for

DESK, TRAINING = "ticket-desk", "note-drafters"
REGION = Region("risaralda")


class PlacementNode(NamedTuple):
    """Hold the attributes of a node that placement uses."""

    node_id: NodeId
    region: Region


class StreamedAnswer(NamedTuple):
    """Hold the events of a streamed answer."""

    events: list[tuple[str, Any]]


def bitmap(held: set[int]) -> str:
    bits = sum(1 << slot for slot in held)
    return base64.b64encode(bits.to_bytes(64, "little")).decode()


class LossTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        membership = {"period_s": 0.4, "probe_timeout_s": 0.2}
        self.system = self.enterContext(
            NodeSystem(self.folder, membership=membership, partitions=2)
        )
        self.system.start_platform()
        names = [f"engine-{number}" for number in range(4)]
        for name in names:
            self.system.start_engine(name, "--tokens-per-s", "40", "--version", "1")
        self.nodes = self.system.start_nodes(3)
        # Each service has its own engines, since only one service can hold an upstream.
        upstreams = [self.system.upstream_entry(name) for name in names]
        common = {"model": "model", "stall_s": 2.0}
        desk = {"name": DESK, "kind": "desk", "upstreams": upstreams[:2]}
        self.publish(desk | common)
        training = {"name": TRAINING, "kind": "training", "upstreams": upstreams[2:]}
        self.publish(training | common | {"trainers": [{"id": "t"}]})

    def publish(self, document: dict[str, Any]) -> None:
        reply = self.system.publish(self.nodes[0], document)
        self.assertEqual(reply.status, 200, reply.body)
        revision = reply.body["revision"]
        self.system.wait_revision(self.nodes, document["name"], revision)

    def home(self, key: str) -> str:
        candidates = [PlacementNode(NodeId(name), REGION) for name in self.nodes]
        home = home_of(key, candidates, REGION)
        assert home is not None
        return home

    def long_input(self, min_length: int, limit: int) -> str:
        number = 0
        while tokens.generation_length(f"long {number}", 0, limit) < min_length:
            number += 1
        return f"long {number}"

    def start_stream(self, node: str, text: str) -> list[StreamedAnswer]:
        url = f"{self.system.url(node)}/v1/services/{DESK}/requests"
        body = {"input": text, "max_tokens": 200, "stream": True}
        answers: list[StreamedAnswer] = []
        threading.Thread(
            target=lambda: answers.append(StreamedAnswer(stream(url, body))),
            daemon=True,
        ).start()
        wait_for(lambda: self.in_flight(DESK) > 0, "start of the request")
        return answers

    def in_flight(self, service: str) -> int:
        alive = [n for n in self.nodes if self.system.processes.by_name[n].running()]
        status = http(f"{self.system.url(alive[0])}/v1/status").body
        pools = [pool for node in status["nodes"] for pool in node["pools"]]
        return sum(p["in_flight"] for p in pools if p["service"] == service)

    def check_whole(self, answer: StreamedAnswer, text: str) -> None:
        events = answer.events
        self.assertEqual(events[-1][0], "end", events[-1])
        count = tokens.generation_length(text, 0, 200)
        self.assertEqual(events[-1][1]["count"], count)
        received = tokens.parse("".join(data["text"] for _, data in events[:-1]))
        assert received is not None
        self.assertEqual([token.position for token in received], list(range(count)))
        hashes = {token.prompt_hash for token in received}
        self.assertEqual(hashes, {tokens.prompt_hash(text)})

    def test_stream_continues_when_pool_home_dies(self) -> None:
        # Fails when the owner loses received tokens or resubmits the work without them.
        pool_home = self.home(f"{DESK}/pool-0")
        entry_node = next(node for node in self.nodes if node != pool_home)
        text = self.long_input(80, 200)
        answers = self.start_stream(entry_node, text)
        self.system.processes.by_name[pool_home].kill()
        wait_for(lambda: bool(answers), "end of the stream")
        self.check_whole(answers[0], text)

    def test_stream_continues_when_pool_home_is_suspended(self) -> None:
        pool_home = self.home(f"{DESK}/pool-0")
        entry_node = next(node for node in self.nodes if node != pool_home)
        text = self.long_input(80, 200)
        answers = self.start_stream(entry_node, text)
        self.system.processes.by_name[pool_home].suspend()
        try:
            wait_for(lambda: bool(answers), "end of the stream")
        finally:
            self.system.processes.by_name[pool_home].resume()
        self.check_whole(answers[0], text)

    def test_stream_continues_when_engine_closes_it_early(self) -> None:
        # Fails when a truncated stream counts as a complete answer.
        text = self.long_input(80, 200)
        for name in ("engine-0", "engine-1"):
            set_faults(self.system.ports[name], cut_streams=1)
        answers = self.start_stream(self.nodes[0], text)
        wait_for(lambda: bool(answers), "end of the stream")
        self.check_whole(answers[0], text)

    def test_stream_continues_when_engine_hangs(self) -> None:
        text = self.long_input(80, 200)
        answers = self.start_stream(self.nodes[0], text)
        status = http(f"{self.system.url(self.nodes[0])}/v1/status").body
        pools = [pool for node in status["nodes"] for pool in node["pools"]]
        upstreams = [u for p in pools if p["service"] == DESK for u in p["upstreams"]]
        busy = next(u["id"] for u in upstreams if u["in_flight"])
        set_faults(self.system.ports[busy], hang=True)
        wait_for(lambda: bool(answers), "end of the stream")
        self.check_whole(answers[0], text)

    def test_work_moves_to_node_that_joins(self) -> None:
        # Fails when the old home keeps a long queue, or a step is generated twice.
        number = 3
        while self.keeps_home(f"node-{number}", f"{TRAINING}/pool-0") or (
            self.keeps_home(f"node-{number}", f"{TRAINING}/t")
        ):
            number += 1
        joiner = f"node-{number}"
        path = f"/v1/services/{TRAINING}/trainers/t/steps/2"
        url = self.system.url(self.nodes[0]) + path
        groups = [{"prompt": f"q{group}"} for group in range(30)]
        step_body = {"groups": groups, "samples_per_group": 8, "version": 1}
        self.assertEqual(http(url, "PUT", step_body | {"max_tokens": 100}).status, 200)
        wait_for(lambda: self.in_flight(TRAINING) > 0, "start of the step")
        self.system.start_node(joiner)
        self.system.wait_ready(joiner)

        held: set[int] = set()
        for _ in range(2000):
            take = {"version": 1, "held": bitmap(held), "wait_s": 2}
            reply = http(f"{url}/take", "POST", take)
            if reply.status == 404:
                again = step_body | {"max_tokens": 100, "held": bitmap(held)}
                http(url, "PUT", again)
                continue
            slots = {sample["slot"] for sample in reply.body.get("samples", [])}
            self.assertFalse(slots & held)
            held |= slots
            if len(held) == 240:
                break
        self.assertEqual(held, set(range(240)))
        logs = [p.read_text() for p in self.folder.glob("node-*.log")]
        self.assertTrue(any("event=step_handed_over" in log for log in logs))
        joiner_log = (self.folder / f"{joiner}.log").read_text()
        self.assertIn("event=work_finished", joiner_log)

    def keeps_home(self, joiner: str, key: str) -> bool:
        """Return whether a key keeps its home when a node joins."""
        candidates = [
            PlacementNode(NodeId(name), REGION) for name in [*self.nodes, joiner]
        ]
        return home_of(key, candidates, REGION) != joiner

    def test_step_completes_when_its_home_dies(self) -> None:
        # Fails when slots are lost or delivered twice after the step home has died.
        home = self.home(f"{TRAINING}/t")
        node = next(name for name in self.nodes if name != home)
        path = f"{self.system.url(node)}/v1/services/{TRAINING}/trainers/t/steps/1"
        groups = [{"prompt": f"p{number}"} for number in range(8)]
        step_body = {
            "groups": groups,
            "samples_per_group": 2,
            "version": 1,
            "max_tokens": 60,
        }
        self.assertEqual(http(path, "PUT", step_body).status, 200)
        held: set[int] = set()
        killed = False
        reopened = 0
        for _ in range(200):
            take = {"version": 1, "held": bitmap(held), "wait_s": 2}
            reply = http(f"{path}/take", "POST", take)
            if reply.status == 404:
                reopened += 1
                again = http(path, "PUT", step_body | {"held": bitmap(held)})
                self.assertIn(again.status, {200, 503}, again.body)
                continue
            if reply.status == 200:
                slots = {sample["slot"] for sample in reply.body["samples"]}
                self.assertFalse(slots & held)
                held |= slots
            if held and not killed:
                self.system.processes.by_name[home].kill()
                killed = True
            if len(held) == 16:
                break
        self.assertEqual(held, set(range(16)))
        self.assertGreaterEqual(reopened, 1)
