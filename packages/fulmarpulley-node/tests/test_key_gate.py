"""Test which keys a node accepts, by its configuration and the age of this."""

import unittest
from typing import Any
from unittest import mock

from result import Err, Ok
from rollout_settings import settings

from fulmarpulley_node.platform import wire
from fulmarpulley_node.platform.config_messages import to_topology
from fulmarpulley_node.rollout import directory as directory_module
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.key_gate import KeyFault, KeyGate, KeyVerdict
from fulmarpulley_node.rollout.metrics import RolloutMetrics

REVOKE_MS = 5000.0
ACCEPTED, UNKNOWN = KeyVerdict.ACCEPTED, KeyVerdict.UNKNOWN_KEY
OUTDATED, REVOCATION = KeyVerdict.MAY_BE_OUTDATED, KeyVerdict.REVOCATION_UNKNOWN


class KeyGateCase(unittest.TestCase):
    def setUp(self) -> None:
        # Seconds of the clock that counts suspended time.
        self.now_s = 100.0
        clock = mock.patch.object(directory_module, "elapsed_s", lambda: self.now_s)
        self.enterContext(clock)
        self.directory = Directory(RolloutMetrics())
        self.version = 0
        self.gates: dict[bool, KeyGate] = {}
        for strict in (False, True):
            configured = settings()
            configured.bounds.revoke_ms = REVOKE_MS if strict else None
            self.gates[strict] = KeyGate(configured, self.directory)

    def configure(self, tenants: Any) -> None:
        """Let the node read a configuration now."""
        self.version += 1
        entry = wire.ConfigEntry(self.version, [], [], tenants=tenants)
        self.directory.topology_changed(to_topology(entry))
        self.directory.operator_records_read(self.now_s)

    def verdict(
        self, key: str | KeyFault, strict: bool = True, anonymous: bool = False
    ) -> KeyVerdict:
        found: Any = Err(key) if isinstance(key, KeyFault) else Ok(key)
        return self.gates[strict].decide(found, anonymous).verdict


class KeyGateTest(KeyGateCase):
    """Guards against keys that are accepted or refused wrongly."""

    def test_key_is_refused_after_its_removal_until_it_comes_back(self) -> None:
        for keys, expected in ((["k"], ACCEPTED), ([], UNKNOWN), (["k"], ACCEPTED)):
            self.configure([wire.TenantEntry("a", keys)])
            self.assertIs(self.verdict("k"), expected)
            self.assertIs(self.verdict("other"), UNKNOWN)

    def test_keys_mean_nothing_without_accounts(self) -> None:
        self.configure(None)
        self.now_s += 1000.0
        for key in ("k", KeyFault.MISSING, KeyFault.SEVERAL_FIELDS):
            decision = self.gates[True].decide(
                Err(key) if isinstance(key, KeyFault) else Ok(key), anonymous=False
            )
            self.assertIs(decision.verdict, ACCEPTED)
            self.assertIsNone(decision.account_name)
        self.assertTrue(self.gates[True].ready)

    def test_anonymous_route_names_the_account_of_a_valid_key_only(self) -> None:
        self.configure([wire.TenantEntry("a", ["k"])])
        keys = {"k": "a", "x": ""}
        for key, name in keys.items():
            decision = self.gates[True].decide(Ok(key), anonymous=True)
            self.assertIs(decision.verdict, ACCEPTED)
            self.assertEqual(decision.account_name, name)
        for fault in KeyFault:
            self.assertIs(self.verdict(fault, anonymous=True), ACCEPTED)

    def test_unknown_key_is_not_denied_while_the_configuration_is_old(self) -> None:
        self.configure([wire.TenantEntry("a", ["k"])])
        self.now_s += 2.1
        for key in ("new", KeyFault.MISSING, KeyFault.OTHER_SCHEME):
            self.assertIs(self.verdict(key), OUTDATED, key)
        for key in (KeyFault.SEVERAL_FIELDS, KeyFault.UNREADABLE):
            self.assertIs(self.verdict(key), UNKNOWN, key)
        self.assertIs(self.verdict("k"), ACCEPTED)


class RevocationTest(KeyGateCase):
    """Guards against removed keys that a node without contact accepts."""

    def setUp(self) -> None:
        super().setUp()
        self.configure([wire.TenantEntry("a", ["k"])])

    def test_keys_are_accepted_for_as_long_as_none_can_have_been_removed(self) -> None:
        self.now_s += 4.85
        self.assertIs(self.verdict("k"), ACCEPTED)
        self.now_s += 0.1
        self.assertIs(self.verdict("k"), REVOCATION)
        self.assertIs(self.verdict("k", anonymous=True), REVOCATION)
        self.assertIs(self.verdict(KeyFault.MISSING, anonymous=True), ACCEPTED)
        # Without strict revocation, the node serves on.
        self.assertIs(self.verdict("k", strict=False), ACCEPTED)

    def test_node_is_not_ready_before_it_refuses_keys(self) -> None:
        self.now_s += 2.95
        self.assertTrue(self.gates[True].ready)
        self.now_s += 0.1
        self.assertFalse(self.gates[True].ready)
        self.assertTrue(self.gates[False].ready)
        self.directory.operator_records_read(self.now_s)
        self.assertTrue(self.gates[True].ready)

    def test_node_that_wakes_refuses_until_it_has_read_the_configuration(self) -> None:
        read_began_s = self.now_s
        self.now_s += 60.0
        self.assertIs(self.verdict("k"), REVOCATION)
        # The answer to a read from before the pause says nothing about the pause.
        self.directory.operator_records_read(read_began_s)
        self.assertIs(self.verdict("k"), REVOCATION)
        self.directory.operator_records_read(self.now_s)
        self.assertIs(self.verdict("k"), ACCEPTED)

    def test_node_that_starts_without_the_store_accepts_nothing(self) -> None:
        directory = Directory(RolloutMetrics())
        gate = KeyGate(settings(), directory)
        self.assertIs(gate.decide(Ok("k"), anonymous=True).verdict, OUTDATED)
