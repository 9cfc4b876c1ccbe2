"""Test how keys and accounts are read, passed on and logged."""

import unittest
from typing import Any
from unittest import mock

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy
from result import Err, Ok
from rollout_settings import settings

from fulmarpulley_core.ids import AccountName
from fulmarpulley_core.rollout.accounts import Account
from fulmarpulley_node.platform import config_messages, key_check, topic_watcher, wire
from fulmarpulley_node.platform.config_messages import to_topology
from fulmarpulley_node.platform.headers import client_key, without_identity
from fulmarpulley_node.platform.key_check import KeyCheck, caller_of, forwarded_headers
from fulmarpulley_node.platform.step_messages import to_step
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.key_gate import KeyDecision, KeyFault, KeyVerdict
from fulmarpulley_node.rollout.metrics import RolloutMetrics

KEY = "secret-key"


def request(*credentials: str) -> Any:
    """Return a request with fields that hold credentials, and a forged account."""
    fields = [("Authorization", value) for value in credentials]
    headers = CIMultiDictProxy(CIMultiDict([*fields, ("tenant", "x"), ("A", "b")]))
    return mock.Mock(headers=headers)


class ClientKeyTest(unittest.TestCase):
    def test_key_is_read_from_one_field_of_printable_ascii(self) -> None:
        # Guards against keys that are accepted by another reading than the operator's.
        expected = {
            (f"Bearer {KEY}",): Ok(KEY),
            (f"bEARER  {KEY} ",): Ok(KEY),
            (): Err(KeyFault.MISSING),
            ("Bearer",): Err(KeyFault.MISSING),
            ("Bearer ",): Err(KeyFault.MISSING),
            (f"Basic {KEY}",): Err(KeyFault.OTHER_SCHEME),
            (KEY,): Err(KeyFault.OTHER_SCHEME),
            (f"Bearer\t{KEY}",): Err(KeyFault.OTHER_SCHEME),
            (f"Bearer {KEY}\udcff",): Err(KeyFault.UNREADABLE),
            (f"Bearer {KEY}ü",): Err(KeyFault.UNREADABLE),
            (f"Bearer {KEY}\x7f",): Err(KeyFault.UNREADABLE),
            (f"Bearer {KEY}",) * 2: Err(KeyFault.SEVERAL_FIELDS),
            (f"Bearer {KEY}", "Basic x"): Err(KeyFault.SEVERAL_FIELDS),
        }
        for credentials, key in expected.items():
            self.assertEqual(client_key(request(*credentials).headers), key)


class ForwardedHeadersTest(unittest.TestCase):
    """Guards against workers that see keys or accounts that clients made up."""

    def test_identity_is_removed_where_there_are_accounts(self) -> None:
        sent = request(f"Bearer {KEY}")
        decision = KeyDecision(KeyVerdict.ACCEPTED)
        self.assertEqual(dict(forwarded_headers(sent, decision)), {"A": "b"})
        self.assertEqual(caller_of(sent, decision), "")
        account = Account(AccountName("a"))
        named = KeyDecision(KeyVerdict.ACCEPTED, account=account)
        self.assertEqual(caller_of(sent, named), "a")

    def test_headers_are_unchanged_without_accounts(self) -> None:
        sent = request(f"Bearer {KEY}")
        decision = KeyDecision(KeyVerdict.ACCEPTED, has_accounts=False)
        self.assertEqual(forwarded_headers(sent, decision), sent.headers)
        self.assertEqual(caller_of(sent, decision), f"Bearer {KEY}")

    def test_identity_is_removed_from_items_before_they_get_onto_the_log(self) -> None:
        headers = {"authorization": KEY, "TENANT ": "x", "Model": "m"}
        submission = wire.Submission([wire.ItemEntry("i", "/p", headers)])
        step = to_step(submission, "s", "h", "/p", 1, AccountName("a"))
        self.assertEqual((step.account, step.items[0].headers), ("a", {"Model": "m"}))
        unchanged = to_step(submission, "s", "h", "/p", 1)
        self.assertEqual((unchanged.account, unchanged.items[0].headers), ("", headers))
        self.assertEqual(dict(without_identity(headers)), {"Model": "m"})


class AccountEntriesTest(unittest.TestCase):
    """Guards against configurations that take accounts away, and keys in log lines."""

    def setUp(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []
        for module in (config_messages, key_check, topic_watcher):
            self.enterContext(mock.patch.object(module, "log_event", self.record))
        self.directory = Directory(RolloutMetrics())

    def record(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))

    def publish(self, version: int, tenants: Any) -> None:
        config = {"Version": version, "Routes": [], "Services": [], "Tenants": tenants}
        data = msgspec.json.encode(config)
        topic_watcher.handle_config(self.directory, "config", data)

    def assert_known(self, version: int) -> None:
        routes = self.directory.routes
        assert routes is not None
        accounts = routes.topology.accounts
        assert accounts is not None
        self.assertEqual(routes.topology.version, version)
        self.assertIsNotNone(accounts.find(KEY))

    def test_last_valid_configuration_stays_and_no_line_has_a_key(self) -> None:
        self.publish(1, [{"Name": "a", "ApiKeys": [KEY]}])
        odd: list[Any] = [
            {KEY: {"Name": "a"}},
            KEY,
            7,
            [KEY],
            [{"Name": "a", "ApiKeys": KEY}],
            [{"Name": "a", "ApiKeys": {KEY: KEY}}],
            [{"Name": "a", "ApiKeys": [[KEY]]}],
            [{"Name": "a", "ApiKeys": [KEY], "Priority": KEY}],
            [{"ApiKeys": [KEY]}],
        ]
        for version, tenants in enumerate(odd, 2):
            self.publish(version, tenants)
            self.assert_known(1)
            self.assertEqual(self.events[-1][0], "config_unreadable")
        self.assertNotIn(KEY, repr(self.events))

    def test_accounts_that_share_a_key_are_named_and_others_take_effect(self) -> None:
        tenants = [
            {"Name": "a", "ApiKeys": ["shared", KEY]},
            {"Name": "b", "ApiKeys": ["shared", f"{KEY}\n"]},
            {"Name": "c\n", "ApiKeys": ["c-key"]},
        ]
        self.publish(1, tenants)
        self.assert_known(1)
        found = dict(self.events)
        self.assertEqual(found["account_keys_shared"]["accounts"], "a,b")
        unusable = [f["account"] for e, f in self.events if e.endswith("unusable")]
        self.assertEqual(unusable, ["b", "c\n"])
        for key in ("shared", KEY, "c-key"):
            self.assertNotIn(f"'{key}", repr(self.events))

    def test_configuration_in_memory_holds_no_key(self) -> None:
        entry = wire.ConfigEntry(1, [], [], tenants=[wire.TenantEntry("a", [KEY])])
        accounts = to_topology(entry).accounts
        self.assertNotIn(KEY, repr(vars(accounts)))

    def test_refusal_is_logged_with_its_reason_and_without_the_key(self) -> None:
        self.publish(1, [{"Name": "a", "ApiKeys": ["k"]}])
        self.directory.operator_records_read(float("inf"))
        check = KeyCheck(settings(), self.directory, RolloutMetrics())
        check.decide(request(f"Bearer {KEY}"), "r", anonymous=False)
        check.decide(request(f"Basic {KEY}"), "r", anonymous=False)
        reasons = [fields["reason"] for e, fields in self.events]
        self.assertEqual(reasons, ["unknown_key", "other_scheme"])
        self.assertNotIn(KEY, repr(self.events))
