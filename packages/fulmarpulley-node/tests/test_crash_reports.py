"""Test that nodes share crashes of upstreams through the log, and without it."""

import asyncio
import unittest
from collections.abc import Sequence
from typing import Any
from unittest import mock

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import RequestDigest, UpstreamId
from fulmarpulley_core.rollout import crash_records
from fulmarpulley_core.rollout.crash_evidence import CRASH_LIFETIME_S
from fulmarpulley_core.rollout.stated_limits import Incarnation
from fulmarpulley_node.rollout import crash_reports
from fulmarpulley_node.rollout.clock import elapsed_s, unix_us
from fulmarpulley_node.rollout.crash_reports import (
    MAX_UNWRITTEN_RECORDS,
    CrashReports,
)
from fulmarpulley_node.rollout.interfaces import KeyedValue, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_schema.generated.crashes import CrashReport

DEADLY = RequestDigest("deadly")
INNOCENT = RequestDigest("innocent")
TIMEOUT_S = 30.0


def upstream(number: int) -> Incarnation:
    return Incarnation(UpstreamId(f"d{number}"), 1)


class MemoryTopic:
    """Passes what nodes write to all of them; refuses writes while it is down."""

    def __init__(self) -> None:
        self.nodes: list[CrashReports] = []
        self.values: dict[str, bytes] = {}
        self.writes = 0
        self.down = False
        self.changed = asyncio.Event()

    async def put(
        self, topic: str, values: Sequence[KeyedValue]
    ) -> Result[int, StoreFailure]:
        await asyncio.sleep(0)
        if self.down:
            return Err(StoreFailure.REFUSED)
        for key, value in values:
            self.writes += 1
            self.values.pop(key, None)
            if value:
                self.values[key] = value
            for node in self.nodes:
                node.handle_record(key, value or None)
        self.changed.set()
        return Ok(0)

    def list(self, node: CrashReports) -> None:
        for key, value in self.values.items():
            node.handle_record(key, value)


class CrashReportsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against crashes that other nodes do not learn of."""

    async def asyncSetUp(self) -> None:
        self.topic = MemoryTopic()
        self.first, self.second = [self.add_node(name) for name in ("n1", "n2")]
        for node in (self.first, self.second):
            await node.start()
            self.addAsyncCleanup(node.stop)

    def add_node(self, name: str) -> CrashReports:
        log: Any = self.topic
        node = CrashReports(settings(), log, RolloutMetrics())
        node.node_id = name
        self.topic.nodes.append(node)
        return node

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                self.topic.changed.clear()
                await self.topic.changed.wait()

    async def test_crashes_at_several_nodes_add_up(self) -> None:
        changes: list[bool] = []
        self.second.listeners.append(lambda: changes.append(True))
        self.first.report_crash(upstream(1), [DEADLY])
        self.second.report_crash(upstream(2), [DEADLY])
        self.assertFalse(self.first.is_blocked(DEADLY))
        await self.wait_until(lambda: self.first.is_blocked(DEADLY))
        await self.wait_until(lambda: self.second.is_blocked(DEADLY))
        self.assertEqual(len(changes), 1)
        self.assertGreater(self.first.blocked_for_s(DEADLY), CRASH_LIFETIME_S / 2)

    async def test_node_that_starts_later_knows_what_is_blocked(self) -> None:
        for number in range(2):
            self.first.report_crash(upstream(number), [DEADLY])
        await self.wait_until(lambda: len(self.topic.values) == 2)
        late = self.add_node("n3")
        self.topic.list(late)
        self.assertTrue(late.is_blocked(DEADLY))

    async def test_records_are_written_once_the_log_is_back(self) -> None:
        self.topic.down = True
        for number in range(2):
            self.first.report_crash(upstream(number), [DEADLY])
        await asyncio.sleep(0.01)
        self.assertTrue(self.first.is_blocked(DEADLY))
        self.assertFalse(self.second.is_blocked(DEADLY))
        self.topic.down = False
        await self.wait_until(lambda: self.second.is_blocked(DEADLY))

    async def test_completion_at_one_node_clears_a_request_at_all(self) -> None:
        for number in range(3):
            self.first.report_crash(upstream(number), [INNOCENT, DEADLY])
        await self.wait_until(lambda: self.second.is_blocked(INNOCENT))
        self.second.record_completion(INNOCENT)
        await self.wait_until(lambda: not self.first.is_blocked(INNOCENT))
        self.assertTrue(self.first.is_blocked(DEADLY))

    async def test_completion_that_only_another_node_saw_before_counts(self) -> None:
        self.second.record_completion(INNOCENT)
        writes = self.topic.writes
        for number in range(3):
            self.first.report_crash(upstream(number), [INNOCENT, DEADLY])
        await self.wait_until(lambda: self.first.is_blocked(DEADLY))
        await self.wait_until(lambda: not self.first.is_blocked(INNOCENT))
        await asyncio.sleep(2 * crash_reports.MAX_SHARING_DELAY_S)
        # Three crashes and one completion, which both nodes know from then on.
        self.assertEqual(self.topic.writes - writes, 4)

    async def test_completions_of_unsuspected_requests_are_not_written(self) -> None:
        self.first.record_completion(INNOCENT)
        await asyncio.sleep(0.01)
        self.assertEqual(self.topic.writes, 0)

    async def test_unwritten_records_are_bounded(self) -> None:
        self.topic.down = True
        for number in range(2 * MAX_UNWRITTEN_RECORDS):
            self.first.report_crash(upstream(number), [DEADLY])
        self.topic.down = False
        await self.wait_until(lambda: self.topic.writes >= MAX_UNWRITTEN_RECORDS)
        await asyncio.sleep(0.01)
        self.assertEqual(self.topic.writes, MAX_UNWRITTEN_RECORDS)

    async def test_expired_records_are_deleted_and_ignored(self) -> None:
        self.first.report_crash(upstream(1), [DEADLY])
        self.first.report_crash(upstream(2), [DEADLY])
        await self.wait_until(lambda: self.second.is_blocked(DEADLY))
        later_s = elapsed_s() + 2 * CRASH_LIFETIME_S
        later_us = unix_us() + int(2 * CRASH_LIFETIME_S * 1e6)
        with (
            mock.patch.object(crash_reports, "elapsed_s", return_value=later_s),
            mock.patch.object(crash_reports, "unix_us", return_value=later_us),
            mock.patch.object(crash_reports, "EXPIRY_INTERVAL_S", 0.001),
        ):
            late = self.add_node("n3")
            self.topic.list(late)
            self.assertFalse(late.is_blocked(DEADLY))
            await self.first.stop()
            self.first.tasks.supervise(self.first._expire)
            self.first.tasks.supervise(self.first._write)
            await self.wait_until(lambda: not self.topic.values)
        self.assertFalse(self.first.is_blocked(DEADLY))
        self.assertEqual(self.first.blocked, set())

    async def test_odd_records_are_left_out(self) -> None:
        long_name = CrashReport(
            node_id="n1",
            upstream="d" * 1000,
            started_ms=1,
            at_us=unix_us(),
            requests=[],
        )
        records = [b"", b"\x01", b"\x09abc", b"\x01" + b"\x91" * 50_000]
        for record in [*records, crash_records.encode(long_name)]:
            self.first.handle_record("k", record or None)
        self.assertEqual(self.first.evidence.crashes, {})
