"""Test that the soak's checks of duties find each kind of fault."""

import time
import unittest
from types import SimpleNamespace
from typing import Any

from fulmarpulley_testing.findings import Fault
from fulmarpulley_testing.platform_checks import CheckContext, check_all
from fulmarpulley_testing.platform_cloud import DutyCall, PlatformCloud
from fulmarpulley_testing.platform_documents import ENGINES
from fulmarpulley_testing.platform_duties import (
    MAX_ENGINES,
    WINDOWS_AFTER_FAULTS,
    SoakDuties,
)
from fulmarpulley_testing.platform_history import (
    FaultWindow,
    PlatformHistory,
    WindowKind,
)
from fulmarpulley_testing.platform_soak import SoakSettings

LEASE_S = 1.0


class DutyCheckCase(unittest.TestCase):
    fencing_required = False

    def setUp(self) -> None:
        self.history = PlatformHistory()
        engine = {"Service": ENGINES, "State": "ready", "Zone": "a1"}
        entries = {"engines-1": engine, "engines-2": engine}
        settings = SoakSettings(engines=2, duties=True)
        system: Any = SimpleNamespace(settings=settings, entries=entries)
        self.entries = entries
        self.duties = SoakDuties(system)
        self.cloud = PlatformCloud(self.fencing_required, LEASE_S)
        self.duties.cloud = self.cloud
        self.now = time.monotonic()

    def receive(
        self,
        holder: str,
        token: int,
        after: float,
        count: int = 1,
        window: int = 7,
    ) -> DutyCall:
        body = {"Window": window, "Counts": {"acme": count}}
        call = DutyCall("usage", holder, token, self.now + after, body)
        self.cloud.check_holder(call)
        return call

    def faults(self, final: bool = False) -> set[Fault]:
        context = CheckContext(self.history, {}, LEASE_S, duties=self.duties)
        return {finding.fault for finding in check_all(context, final)}


class HolderCheckTest(DutyCheckCase):
    """Guards against a stand-in that misses holders that break a rule."""

    def alternate(self) -> None:
        for holder, token, after in (("a", 1, 0.0), ("b", 2, 0.3), ("a", 3, 0.6)):
            self.receive(holder, token, after)

    def test_holders_that_alternate_within_the_lease_are_found(self) -> None:
        self.alternate()
        self.assertEqual(self.faults(), {Fault.DUTY_BROKEN})

    def test_holders_that_alternate_slowly_are_no_finding(self) -> None:
        for holder, token, after in (("a", 1, 0.0), ("b", 2, 1.0), ("a", 3, 1.1)):
            self.receive(holder, token, after)
        self.assertEqual(self.faults(), set())

    def test_resumed_process_excuses_a_call_that_it_had_begun(self) -> None:
        window = FaultWindow(
            kind=WindowKind.PROCESS, subject="a", begin=self.now, end=self.now + 0.5
        )
        self.history.windows.append(window)
        self.alternate()
        self.assertEqual(self.faults(), set())

    def test_lower_token_after_a_higher_one_is_found(self) -> None:
        self.receive("b", 2, 0.0)
        self.receive("a", 1, 5.0)
        self.assertEqual(self.faults(), {Fault.DUTY_BROKEN})

    def test_token_of_two_holders_is_found_also_after_a_pause(self) -> None:
        window = FaultWindow(kind=WindowKind.PROCESS, subject="a", begin=self.now)
        self.history.windows.append(window)
        self.receive("b", 2, 0.0)
        self.receive("a", 2, 5.0)
        self.assertEqual(self.faults(), {Fault.DUTY_BROKEN})

    def test_two_counts_of_a_window_are_found(self) -> None:
        self.cloud.execute(self.receive("a", 1, 0.0))
        self.cloud.execute(self.receive("a", 1, 0.1))
        self.assertEqual(self.faults(), set())
        self.cloud.execute(self.receive("a", 1, 0.2, count=2))
        self.assertEqual(self.faults(), {Fault.DUTY_BROKEN})

    def test_call_that_the_platform_carries_out_late_is_no_finding(self) -> None:
        late = self.receive("a", 1, 0.0)
        self.cloud.execute(self.receive("b", 2, 1.5))
        self.cloud.execute(late)
        self.assertEqual(self.faults(), set())


class FencedHolderCheckTest(DutyCheckCase):
    """Guards against a finding for a call that the platform refuses."""

    fencing_required = True

    def test_outdated_call_is_refused_and_no_finding(self) -> None:
        late = self.receive("a", 1, 0.0, count=2)
        self.cloud.execute(self.receive("b", 2, 0.3))
        self.assertEqual(self.cloud.execute(late).status, 409)
        self.assertEqual(self.cloud.execute(self.receive("a", 1, 0.4)).status, 409)
        self.assertEqual(self.faults(), set())


class DoneCheckTest(DutyCheckCase):
    """Guards against a check that misses duties that nobody carries out."""

    def setUp(self) -> None:
        super().setUp()
        self.duties.first_window = 7
        for window in range(7, 7 + WINDOWS_AFTER_FAULTS):
            self.cloud.execute(self.receive("a", 1, 0.0, window=window))

    def test_duties_that_are_done_are_no_finding(self) -> None:
        self.assertEqual(self.faults(final=True), set())

    def test_window_that_is_not_reported_is_found(self) -> None:
        self.cloud.windows.pop(7)
        self.assertEqual(self.faults(final=True), {Fault.DUTY_UNDONE})

    def test_window_of_the_time_of_the_faults_that_is_missing_is_found(self) -> None:
        self.cloud.execute(self.receive("a", 1, 0.1, window=5))
        self.assertEqual(self.faults(final=True), {Fault.DUTY_UNDONE})

    def test_engine_that_is_not_replaced_is_found(self) -> None:
        self.entries["engines-2"] = {**self.entries["engines-2"], "State": "draining"}
        self.assertEqual(self.faults(final=True), {Fault.DUTY_UNDONE})

    def test_order_beyond_the_limits_is_found(self) -> None:
        order = {"Service": ENGINES, "Zone": "a1", "TargetGroups": MAX_ENGINES + 1}
        self.duties.closed = True
        self.duties.carry_out(order)
        self.assertEqual(self.faults(), {Fault.DUTY_BROKEN})
