"""Test requests with keys: at most one run, one answer and a correct ran field."""

import tempfile
import threading
import unittest
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from fulmarpulley_core.ids import NodeId, Region
from fulmarpulley_core.placement import home_of
from fulmarpulley_testing.history import CallExecuted, HistoryReader
from fulmarpulley_testing.node_system import NodeSystem, Reply, http, stream
from fulmarpulley_testing.processes import set_faults, wait_for
from fulmarpulley_testing.tokens import plain_result

SERVICE = "intake-desk"


class PlacementNode(NamedTuple):
    """Hold the attributes of a node that placement uses."""

    node_id: NodeId
    region: Region


class KeysCase(unittest.TestCase):
    """Share three nodes and a plain service among the tests of a class."""

    folder: Path
    system: NodeSystem
    nodes: list[str]

    @classmethod
    def setUpClass(cls) -> None:
        cls.folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        membership = {"period_s": 0.4, "probe_timeout_s": 0.2}
        system = NodeSystem(cls.folder, membership=membership, partitions=4)
        cls.system = cls.enterClassContext(system)
        system.start_platform()
        history = ("--history", str(cls.folder / "plain.jsonl"))
        system.start_stand_in("plain", "plain_service", *history)
        cls.nodes = system.start_nodes(3)
        document = {
            "name": SERVICE,
            "kind": "desk",
            "model": "m",
            "upstreams": [system.upstream_entry("plain", dialect="plain")],
            "deadline_s": 20,
        }
        revision = system.publish(cls.nodes[0], document).body["revision"]
        system.wait_revision(cls.nodes, SERVICE, revision)

    def setUp(self) -> None:
        self.set_plain_faults(delay_s=0.0, lose_answers=0, refusals=0, errors=0)
        log = self.system.ports["log"]
        set_faults(log, outage=False, lose_answers=0, double_appends=0, retain_count=0)

    def url(self, node: str, path: str) -> str:
        return f"{self.system.url(node)}/v1/services/{SERVICE}/{path}"

    def issue_key(self, node: str) -> str:
        reply = http(self.url(node, "keys"), "POST", {"count": 1})
        self.assertEqual(reply.status, 200, reply.body)
        return str(reply.body["keys"][0])

    def post(self, node: str, **body: Any) -> Reply:
        return http(self.url(node, "requests"), "POST", body)

    def run_count(self, text: str) -> int:
        entries = HistoryReader(self.folder).read()
        calls = [entry for entry in entries if isinstance(entry, CallExecuted)]
        return sum(call.body == text for call in calls)

    def set_plain_faults(self, **values: Any) -> None:
        set_faults(self.system.ports["plain"], **values)

    def homes(self, key: str) -> tuple[str, str]:
        """Return the home of the partition of a key and the home of the pool."""
        nodes = [
            PlacementNode(NodeId(name), Region("risaralda")) for name in self.nodes
        ]
        partition = key.split("-", maxsplit=1)[0].removeprefix("k")
        holder = home_of(f"partition-{partition}", nodes)
        pool_home = home_of(f"{SERVICE}/pool-0", nodes, Region("risaralda"))
        assert holder is not None and pool_home is not None
        return holder, pool_home

    def key_with_separate_homes(self) -> tuple[str, str, str, str]:
        """Return a key, its holder, a different pool home and the third node."""
        while True:
            key = self.issue_key(self.nodes[0])
            holder, pool_home = self.homes(key)
            if holder != pool_home:
                third = next(n for n in self.nodes if n not in {holder, pool_home})
                return key, holder, pool_home, third

    def start_request(self, node: str, text: str, key: str) -> list[Reply]:
        """Send a long-running request and wait until it runs."""
        self.set_plain_faults(delay_s=60.0)
        replies: list[Reply] = []

        def send() -> None:
            with suppress(OSError):
                replies.append(self.post(node, input=text, key=key, repeatable=False))

        threading.Thread(target=send, daemon=True).start()
        wait_for(lambda: self.run_count(text) == 1, "start of the request")
        self.set_plain_faults(delay_s=0.0)
        return replies


class KeysTest(KeysCase):
    """Test requests while all nodes are alive."""

    def test_answer_is_returned_by_every_node_and_run_once(self) -> None:
        key = self.issue_key(self.nodes[0])
        for node in self.nodes:
            reply = self.post(node, input="a", key=key, repeatable=False)
            self.assertEqual(reply.status, 200, reply.body)
            self.assertEqual(reply.body["text"], plain_result("a"))
            fetched = http(self.url(node, f"requests/{key}?wait_s=5"))
            self.assertEqual(fetched.body, reply.body)
        self.assertEqual(self.run_count("a"), 1)

    def test_same_request_at_all_nodes_at_once_runs_once(self) -> None:
        # Fails when two homes, or two entry nodes, both send the request.
        self.set_plain_faults(delay_s=0.3)
        key = self.issue_key(self.nodes[0])
        replies: list[Reply] = []

        def send(node: str) -> None:
            replies.append(self.post(node, input="b", key=key, repeatable=False))

        threads = [threading.Thread(target=send, args=(n,)) for n in self.nodes * 2]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        texts = {(reply.status, reply.body.get("text")) for reply in replies}
        self.assertEqual(texts, {(200, plain_result("b"))})
        self.assertEqual(self.run_count("b"), 1)

    def test_lost_upstream_answer_may_have_run_and_is_not_sent_again(self) -> None:
        self.set_plain_faults(lose_answers=1)
        key = self.issue_key(self.nodes[0])
        lost = self.post(self.nodes[0], input="c", key=key, repeatable=False)
        self.assertEqual(
            (lost.status, lost.body["code"], lost.body["ran"]),
            (502, "upstream_broken", "may_have_run"),
        )
        for node in self.nodes:
            again = self.post(node, input="c", key=key, repeatable=False)
            self.assertEqual(again.body["ran"], "may_have_run", again.body)
        self.assertEqual(self.run_count("c"), 1)

    def test_upstream_refusal_is_retried(self) -> None:
        # Fails when a request that did not run is not retried.
        self.set_plain_faults(refusals=1)
        key = self.issue_key(self.nodes[0])
        reply = self.post(self.nodes[0], input="d", key=key, repeatable=False)
        self.assertEqual((reply.status, self.run_count("d")), (200, 1), reply.body)

    def test_upstream_error_reports_ran(self) -> None:
        self.set_plain_faults(errors=1)
        key = self.issue_key(self.nodes[0])
        reply = self.post(self.nodes[0], input="e", key=key, repeatable=False)
        self.assertEqual(
            (reply.status, reply.body["code"], reply.body["ran"]),
            (502, "upstream_error", "ran"),
        )

    def test_log_outage_refuses_only_non_repeatable_requests(self) -> None:
        key = self.issue_key(self.nodes[0])
        set_faults(self.system.ports["log"], outage=True)
        for node in self.nodes:
            reply = self.post(node, input="f", key=key, repeatable=False)
            self.assertEqual(
                (reply.status, reply.body["code"], reply.body["ran"]),
                (503, "log_unavailable", "not_run"),
            )
            repeatable = self.post(node, input="g", key="chosen")
            self.assertEqual(repeatable.status, 200, repeatable.body)
        self.assertEqual(self.run_count("f"), 0)
        set_faults(self.system.ports["log"], outage=False)
        wait_for(
            lambda: (
                self.post(self.nodes[1], input="f", key=key, repeatable=False).status
                == 200
            ),
            "answer after the outage",
        )
        self.assertEqual(self.run_count("f"), 1)

    def test_lost_claim_append_answer_leads_to_one_run(self) -> None:
        key = self.issue_key(self.nodes[0])
        set_faults(self.system.ports["log"], lose_answers=1, double_appends=1)
        reply = self.post(self.nodes[0], input="h", key=key, repeatable=False)
        if reply.status != 200:
            self.assertEqual(reply.body["ran"], "not_run", reply.body)
            reply = self.post(self.nodes[0], input="h", key=key, repeatable=False)
        self.assertEqual((reply.status, self.run_count("h")), (200, 1), reply.body)

    def test_key_with_other_body_is_refused(self) -> None:
        key = self.issue_key(self.nodes[0])
        first = self.post(self.nodes[0], input="i", key=key, repeatable=False)
        self.assertEqual(first.status, 200)
        for node in self.nodes:
            other = self.post(node, input="j", key=key, repeatable=False)
            self.assertEqual(
                (other.status, other.body["code"], other.body["ran"]),
                (409, "key_reused", "not_run"),
            )

    def test_chosen_key_is_refused_when_not_repeatable(self) -> None:
        reply = self.post(self.nodes[0], input="k", key="mine", repeatable=False)
        self.assertEqual((reply.status, reply.body["code"]), (400, "bad_request"))
        self.assertEqual(self.run_count("k"), 0)

    def test_unknown_key_reports_not_run(self) -> None:
        key = self.issue_key(self.nodes[0])
        reply = http(self.url(self.nodes[1], f"requests/{key}"))
        self.assertEqual(
            (reply.status, reply.body["code"], reply.body["ran"]),
            (404, "unknown_key", "not_run"),
        )

    def test_expired_key_is_refused(self) -> None:
        keys = [self.issue_key(self.nodes[0])]
        set_faults(self.system.ports["log"], retain_count=2)
        partition = keys[0].split("-")[0]
        while len(keys) < 4:
            key = self.issue_key(self.nodes[0])
            if key.split("-")[0] == partition:
                done = self.post(self.nodes[0], input=key, key=key, repeatable=False)
                self.assertEqual(done.status, 200, done.body)
                keys.append(key)

        def refused() -> bool:
            again = self.post(self.nodes[1], input="old", key=keys[0], repeatable=False)
            self.assertEqual(again.status, 410, again.body)
            return bool(again.body["code"] == "key_expired")

        self.assertTrue(refused())
        self.assertEqual(self.run_count("old"), 0)

    def test_streamed_answer_with_key_is_replayed_whole(self) -> None:
        body = {"input": "m", "key": "stream-1", "stream": True}
        first = stream(self.url(self.nodes[0], "requests"), body)
        again = stream(self.url(self.nodes[1], "requests"), body)
        self.assertEqual([name for name, _ in first], ["token", "end"])
        self.assertEqual(first, again)

    def test_cancelled_request_reports_what_happened(self) -> None:
        self.set_plain_faults(delay_s=60.0)
        key = self.issue_key(self.nodes[0])
        replies: list[Reply] = []

        def send() -> None:
            replies.append(
                self.post(self.nodes[0], input="n", key=key, repeatable=False)
            )

        sender = threading.Thread(target=send)
        sender.start()
        wait_for(lambda: self.run_count("n") == 1, "start of the request")
        cancelled = http(self.url(self.nodes[1], f"requests/{key}"), "DELETE")
        sender.join()
        for reply in (cancelled, replies[0]):
            self.assertEqual(
                (reply.status, reply.body["code"], reply.body["ran"]),
                (409, "cancelled", "may_have_run"),
            )


class HolderLossTest(KeysCase):
    """Test requests whose holder dies."""

    def test_request_may_have_run_when_its_holder_dies(self) -> None:
        # Fails when the next home runs the request again or reports not_run.
        key, holder, pool_home, third = self.key_with_separate_homes()
        replies = self.start_request(third, "l", key)
        self.system.processes.by_name[holder].kill()
        wait_for(lambda: bool(replies), "answer to the caller")
        self.assertEqual(replies[0].body["ran"], "may_have_run", replies[0].body)
        for node in (pool_home, third):
            again = self.post(node, input="l", key=key, repeatable=False)
            self.assertEqual(again.body["ran"], "may_have_run", again.body)
        self.assertEqual(self.run_count("l"), 1)


class PoolHomeLossTest(KeysCase):
    """Test requests whose pool home dies."""

    def test_request_may_have_run_when_its_pool_home_dies(self) -> None:
        # Fails when non-repeatable work is submitted to the next pool home.
        key, _holder, pool_home, third = self.key_with_separate_homes()
        replies = self.start_request(third, "o", key)
        self.system.processes.by_name[pool_home].kill()
        wait_for(lambda: bool(replies), "answer to the caller")
        self.assertEqual(
            (replies[0].body["code"], replies[0].body["ran"]),
            ("upstream_broken", "may_have_run"),
        )
        self.assertEqual(self.run_count("o"), 1)
