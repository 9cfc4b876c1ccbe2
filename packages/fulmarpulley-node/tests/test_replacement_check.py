"""Test when reports of engines end a tenure."""

import time
import unittest
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock, patch

import msgspec
from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import ItemId, Partition, ServiceName, UpstreamId
from fulmarpulley_core.pool.messages import PoolSettings
from fulmarpulley_core.rollout.replacement_evidence import EndedRuns
from fulmarpulley_node.platform import wire
from fulmarpulley_node.platform.worker_reports import MAX_RUNS, decode_runs
from fulmarpulley_node.rollout.interfaces import Membership
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.ownership import Ownership, Tenure
from fulmarpulley_node.rollout.replacement_check import ReplacementCheck
from fulmarpulley_node.rollout.service_pools import ServicePools
from fulmarpulley_schema.codec import from_json

OWNED = Partition(0)


class FakeDirectory:
    """Lists two engines."""

    def upstreams_for_service(self, service: ServiceName) -> list[Any]:
        return [SimpleNamespace(upstream_id=UpstreamId(name)) for name in ("e1", "e2")]


class FakeCalls:
    """Answers reports; `on_call` is called during each."""

    def __init__(self) -> None:
        self.reports: dict[str, Result[list[ItemId], str]] = {}
        self.on_call: Any = lambda: None

    async def running_requests(self, upstream: Any) -> Result[list[ItemId], str]:
        self.on_call()
        return self.reports.get(upstream.upstream_id, Err("unreachable"))


class ReplacementCheckTest(unittest.IsolatedAsyncioTestCase):
    """Guards against owners that go on beside a new one, or stop without one."""

    def setUp(self) -> None:
        log: Any = None
        partitions: Any = None
        self.ownership = Ownership(settings(), log, partitions)
        # Both partitions need no fence here.
        self.ownership._take_fence = self._no_fence  # type: ignore[method-assign]
        self.lost: list[Tenure] = []
        self.ownership.on_lost.append(self.lost.append)
        self.calls = FakeCalls()

    async def _no_fence(self, tenure: Tenure) -> None:
        return None

    def join(self, *partitions: int, ago_s: float = 0.0) -> None:
        membership = Membership(1, frozenset(partitions))
        self.ownership._apply_membership(membership, time.monotonic() - ago_s)

    async def check(self) -> None:
        step = SimpleNamespace(open_items={ItemId("i1"): None})
        fold = SimpleNamespace(open_steps=lambda: [step])
        home: Any = SimpleNamespace(
            pools=SimpleNamespace(pools={ServiceName("s"): None}),
            attempts=SimpleNamespace(running={}, ended=EndedRuns()),
            follower=SimpleNamespace(fold=fold),
        )
        directory: Any = FakeDirectory()
        calls: Any = self.calls
        await ReplacementCheck(
            directory,
            calls,
            self.ownership,
            self.ownership.tenures[OWNED],
            home,
            RolloutMetrics(),
        ).check()

    async def test_evidence_ends_only_the_tenure_that_it_concerns(self) -> None:
        self.join(0, 1, ago_s=10.0)
        self.calls.reports["e2"] = Ok([ItemId("other"), ItemId("i1")])
        await self.check()
        self.assertEqual([tenure.partition for tenure in self.lost], [OWNED])
        self.assertTrue(self.lost[0].ended)
        self.assertEqual(list(self.ownership.tenures), [1])

    async def test_group_can_make_the_node_owner_again(self) -> None:
        self.join(0, ago_s=10.0)
        self.calls.reports["e1"] = Ok([ItemId("i1")])
        await self.check()
        self.join(0)
        self.assertIsNot(self.ownership.tenures[OWNED], self.lost[0])
        self.assertFalse(self.ownership.tenures[OWNED].ended)

    async def test_reports_that_cannot_be_read_end_nothing(self) -> None:
        self.join(0, ago_s=10.0)
        await self.check()
        self.assertEqual(self.lost, [])

    async def test_contact_during_the_report_leaves_the_decision_to_the_group(
        self,
    ) -> None:
        self.join(0, ago_s=10.0)
        self.calls.reports["e1"] = Ok([ItemId("i1")])
        self.calls.on_call = lambda: self.join(0)
        await self.check()
        self.assertEqual(self.lost, [])


class ClosedPoolsTest(unittest.TestCase):
    """Guards against a former owner that starts items while it writes its results."""

    def test_closed_pools_open_no_others(self) -> None:
        directory: Any = FakeDirectory()
        pools = ServicePools(settings(), directory, PoolSettings(), Mock())
        pools.close()
        with patch.object(pools, "_document") as document:
            self.assertIsNone(pools.open(ServiceName("s")))
        document.assert_not_called()


class DecodeRunsTest(unittest.TestCase):
    """Guards against odd reports that break orders or take much memory."""

    def report(self, **fields: Any) -> wire.ReportReply:
        data = msgspec.json.encode({"Models": [], "Sequence": 3, **fields})
        return from_json(data, wire.ReportReply)

    def test_ids_are_read_and_odd_rows_are_skipped(self) -> None:
        rows = [["a", 10, 1, 2], [], None, [7, 1], {"id": "b"}, "c", ["d"], ["e", None]]
        runs = decode_runs(self.report(Runs=rows, RunningRequests=3).runs)
        self.assertEqual(runs, ["a", "d", "e"])

    def test_report_without_a_list_of_runs_is_an_error_for_its_runs_only(self) -> None:
        for fields in ({}, {"Runs": None}, {"Runs": "a"}, {"Runs": {"a": 1}}):
            with self.subTest(fields=fields):
                report = self.report(**fields)
                self.assertEqual(report.orders, 3)
                with self.assertRaises(msgspec.DecodeError):
                    decode_runs(report.runs)

    def test_number_of_runs_is_bounded(self) -> None:
        rows = [[f"i{number}", 0, 0, 0] for number in range(2 * MAX_RUNS)]
        self.assertEqual(len(decode_runs(self.report(Runs=rows).runs)), MAX_RUNS)

    def test_deep_nesting_is_an_error_of_the_report(self) -> None:
        row = b"[" * 50_000 + b"]" * 50_000
        with self.assertRaises(msgspec.DecodeError):
            decode_runs(msgspec.Raw(b'[["a"],' + row + b"]"))
