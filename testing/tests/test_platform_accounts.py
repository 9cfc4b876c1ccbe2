"""Test client accounts with nodes as processes: who is served, and what is seen."""

import signal
import socket
from typing import Any

from platform_case import PlatformCase, accepted_step

from fulmarpulley_core.ids import ServiceName
from fulmarpulley_core.rollout.step_records import encode
from fulmarpulley_node.rollout.partitions import partition_of
from fulmarpulley_testing.platform_documents import (
    ACCOUNT_KEYS,
    DESK_PREFIX,
    ENGINES,
    HOST,
    ROLLOUT_PREFIX,
    configuration,
    reward_id,
)
from fulmarpulley_testing.platform_store import OPERATOR_TOPIC
from fulmarpulley_testing.platform_system import (
    PARTITIONS,
    NodeProcess,
    settle,
    submit,
    wait_results,
)
from fulmarpulley_testing.processes import wait_for
from fulmarpulley_testing.serving import LOOPBACK

FIRST_KEY, SECOND_KEY = ACCOUNT_KEYS["acme"]
OTHER_KEY = ACCOUNT_KEYS["bolt"][0]
OPEN_PREFIX = "/open/"
REVOKE_MS = 2000.0
REVOKE_S = REVOKE_MS / 1000
ITEMS, EVENTS = 4, 5


class AccountCase(PlatformCase):
    def start_nodes(self) -> list[NodeProcess]:
        self.system.revoke_ms = REVOKE_MS
        self.system.account_keys = {n: list(k) for n, k in ACCOUNT_KEYS.items()}
        self.configure()
        # Holds answers to reads of the configuration while a test asks for it.
        self.system.store_port = self.system.serve(self.system.store.app(may_lag=True))
        return super().start_nodes()

    def configure(self) -> None:
        routes = configuration(0)["Routes"]
        changed = {"Name": "r-open", "PathPrefix": OPEN_PREFIX, "AllowAnonymous": True}
        self.system.configure(Routes=[*routes, {**routes[1], **changed}])

    def tearDown(self) -> None:
        """Assert that no key got to a worker or into a log line."""
        for worker in self.system.workers.values():
            self.assertEqual([r for r in worker.runs if r.credentials is not None], [])
        for node in self.nodes:
            self.assertNotIn("key-of-", node.log_path.read_text())

    def ask(
        self, key: str, request_id: str, prefix: str = DESK_PREFIX, node: int = 0
    ) -> int:
        credentials = {"Authorization": f"bEarer {key}"} if key else {}
        answer = self.nodes[node].call(
            "POST",
            f"{prefix}x",
            b"text",
            Request_Id=request_id,
            Tenant="forged",
            Connection="close, Tenant",
            **credentials,
        )
        return answer.status

    def accounts_seen(self, *request_ids: str) -> set[str | None]:
        return {r.account for name in request_ids for r in self.system.all_runs(name)}


class AccountTest(AccountCase):
    """Guards against requests served for the wrong account, and keys that get out."""

    def test_plain_requests_are_served_by_their_keys(self) -> None:
        expected = {
            (FIRST_KEY, DESK_PREFIX): (200, {"acme"}),
            (OTHER_KEY, DESK_PREFIX): (200, {"bolt"}),
            ("", DESK_PREFIX): (401, set()),
            ("key-of-nobody", DESK_PREFIX): (401, set()),
            ("key-of-nobody", "/no-route/"): (404, set()),
            (FIRST_KEY, OPEN_PREFIX): (200, {"acme"}),
            ("", OPEN_PREFIX): (200, {None}),
            ("key-of-nobody", OPEN_PREFIX): (200, {None}),
        }
        for number, ((key, prefix), (status, seen)) in enumerate(expected.items()):
            with self.subTest(key=key, prefix=prefix):
                self.assertEqual(self.ask(key, f"q{number}", prefix), status)
                self.assertEqual(self.accounts_seen(f"q{number}"), seen)
        # A node that cannot parse a field answers 400.
        for field in (b"\xff", b"\xc3\xbc", b"\x01"):
            self.assertIn(self.ask_raw(FIRST_KEY.encode() + field), (400, 401))
        key = FIRST_KEY.encode()
        self.assertEqual(self.ask_raw(key + b"\r\nAuthorization: Bearer " + key), 401)
        self.assertEqual(self.accounts_seen("raw"), set())

    def ask_raw(self, key: bytes) -> int:
        head = f"POST {DESK_PREFIX}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: raw\r\n"
        with socket.create_connection((LOOPBACK, self.nodes[0].caller_port)) as link:
            link.sendall(head.encode() + b"Content-Length: 0\r\nAuthorization: Bearer ")
            link.sendall(key + b"\r\n\r\n")
            answer = link.recv(4096)
        self.assertNotIn(b"key-of-", answer)
        return int(answer.split()[1])

    def test_steps_belong_to_the_account_that_submitted_them(self) -> None:
        first, second = self.nodes
        first.key, second.key = FIRST_KEY, OTHER_KEY
        for engine in self.engines:
            engine.event_s = 0.2
        self.assertEqual(submit(first, "s1", ITEMS, rewards=True).status, 202)
        self.assertEqual(submit(second, "s1", ITEMS).status, 404)
        for method in ("GET", "DELETE"):
            answer = second.call(method, "/-/lots/s1")
            self.assertEqual((method, answer.status), (method, 404))
        self.assertEqual(second.call("GET", "/-/items/s1?Id=s1-0").status, 404)
        # The items of a step run on after its key was removed.
        self.system.account_keys = {"acme": [SECOND_KEY], "bolt": [OTHER_KEY]}
        self.configure()
        wait_for(lambda: submit(first, "s2", 2).status == 401, "the removal of a key")
        second.key = SECOND_KEY
        self.assert_complete(wait_results(second, "s1", ITEMS), EVENTS)
        items = [f"s1-{number}" for number in range(ITEMS)]
        self.assertEqual(self.accounts_seen(*items), {"acme"})
        self.assertEqual(self.accounts_seen(*map(reward_id, items)), {None})

    def test_step_of_an_older_build_names_no_account_and_shows_no_key(self) -> None:
        record = accepted_step("s1", ITEMS, ROLLOUT_PREFIX)
        for item in record.items:
            item.headers |= {"authorization": f"Bearer {FIRST_KEY}", "Tenant": "x"}
        partition = partition_of(ServiceName(ENGINES), PARTITIONS)
        self.system.run(self.system.store.add("steps", partition, [encode(record)]))
        self.nodes[0].key = OTHER_KEY
        self.assert_complete(wait_results(self.nodes[0], "s1", ITEMS), EVENTS)
        self.assertEqual(self.accounts_seen("s1-0", "s1-1"), {None})


class StrictRevocationTest(AccountCase):
    """Guards against requests that run long after their key was removed."""

    def replace_keys(self, *keys: str) -> None:
        self.system.account_keys = {"acme": list(keys)}
        self.configure()

    def statuses(self, key: str) -> set[Any]:
        name = self.request_id(key)
        return {self.ask(key, name, node=n) for n in range(len(self.nodes))}

    def request_id(self, key: str) -> str:
        """Return the request id for a key, without the text that marks keys."""
        return key.removeprefix("key-of-")

    def test_nodes_without_contact_refuse_keys_until_they_have_contact(self) -> None:
        self.assertEqual(self.statuses(FIRST_KEY), {200})
        self.system.store.held_topics.add(OPERATOR_TOPIC)
        self.replace_keys(SECOND_KEY)
        settle(REVOKE_S)
        runs = len(self.system.all_runs(self.request_id(FIRST_KEY)))
        self.assertEqual(self.statuses(FIRST_KEY), {503})
        self.assertEqual(len(self.system.all_runs(self.request_id(FIRST_KEY))), runs)
        self.assertEqual(self.ask("", "open", OPEN_PREFIX), 200)
        self.assertFalse(any(node.is_ready() for node in self.nodes))
        self.system.run(self.system.store.release_topics())
        wait_for(lambda: all(n.is_ready() for n in self.nodes), "ready nodes")
        wait_for(lambda: self.statuses(FIRST_KEY) == {401}, "the removal of a key")
        self.assertEqual(self.statuses(SECOND_KEY), {200})
        self.replace_keys(FIRST_KEY)
        wait_for(lambda: self.statuses(FIRST_KEY) == {200}, "a key that comes back")

    def test_node_that_wakes_runs_no_request_with_a_removed_key(self) -> None:
        node = self.nodes[0]
        node.signal(signal.SIGSTOP)
        self.replace_keys(SECOND_KEY)
        settle(REVOKE_S)
        with socket.create_connection((LOOPBACK, node.caller_port)) as link:
            head = f"POST {DESK_PREFIX}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: late"
            fields = f"Content-Length: 0\r\nAuthorization: Bearer {FIRST_KEY}"
            link.sendall(f"{head}\r\n{fields}\r\n\r\n".encode())
            node.signal(signal.SIGCONT)
            self.assertIn(int(link.recv(4096).split()[1]), (401, 503))
        self.assertEqual(self.system.all_runs("late"), [])
