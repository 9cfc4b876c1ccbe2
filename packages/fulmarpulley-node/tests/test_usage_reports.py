"""Test that a window is reported with one set of counts, whatever the log loses."""

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import AccountName, FenceNumber, Partition
from fulmarpulley_core.rollout import usage
from fulmarpulley_core.rollout.step_records import encode
from fulmarpulley_core.rollout.usage import US_PER_S, UsageCounter
from fulmarpulley_node.rollout import usage_reports
from fulmarpulley_node.rollout.duties import DutyContext
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.ownership import Tenure
from fulmarpulley_node.rollout.partitions import Partitions
from fulmarpulley_node.rollout.usage_reports import UsageReporting
from fulmarpulley_schema.generated.steps import OwnerFence

WINDOW_US = 5 * US_PER_S
WINDOW = 10_000
# The latest time at which the first window is closed.
CLOSED_US = (WINDOW + 1) * WINDOW_US + 6 * US_PER_S


class MemoryLog:
    """Holds one partition per topic; `delayed` keeps appends that get no answer."""

    def __init__(self) -> None:
        self.topics: dict[str, list[bytes]] = {"steps": [], "usage": []}
        self.first = {"steps": 0, "usage": 0}
        self.delays = False
        self.delayed: list[bytes] = []

    async def append(
        self, topic: str, _partition: int, records: list[bytes]
    ) -> Result[int, StoreFailure]:
        if self.delays:
            self.delayed += records
            return Err(StoreFailure.UNKNOWN)
        self.topics[topic] += records
        return Ok(len(self.topics[topic]) - len(records))

    async def read(
        self, topic: str, _partition: int, start: int, _wait_s: float, _bytes: int = 0
    ) -> Result[LogPage, StoreFailure]:
        await asyncio.sleep(0.001)
        first, records = self.first[topic], self.topics[topic]
        if start < first:
            return Ok(LogPage(first, [], first + 1, first))
        return Ok(LogPage(start, records[start:], len(records), first))


class UsageReportingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.log = MemoryLog()
        self.now_us = CLOSED_US
        self.elapsed_s = 100.0
        for name, clock in (
            ("unix_us", lambda: self.now_us),
            ("elapsed_s", lambda: self.elapsed_s),
        ):
            self.enterContext(mock.patch.object(usage_reports, name, clock))
        self.counter = UsageCounter("n1", "s1", WINDOW_US)
        self.sent: list[tuple[int, dict[AccountName, int], FenceNumber]] = []

    async def holder(self, name: str) -> UsageReporting:
        """Returns the duty of a node that has just taken the partition over."""
        fence = OwnerFence(node_id=name, tenure=name)
        self.log.topics["steps"].append(encode(fence))
        number = FenceNumber(len(self.log.topics["steps"]))
        log: Any = self.log
        partitions = Partitions(settings(), log)
        self.addAsyncCleanup(partitions.stop)
        tenure = Tenure(Partition(0), name, number)
        calls: Any = SimpleNamespace(report_usage=self.report_usage)
        runner: Any = SimpleNamespace(call=lambda t, _subject, send: send(t.fence))
        nothing: Any = None
        context = DutyContext(
            runner, tenure, settings(), nothing, partitions, calls, RolloutMetrics()
        )
        holder = UsageReporting(context)
        # The nodes have had time to write their counts since the log is reached.
        holder.contact_since_s = self.elapsed_s - usage_reports.CATCH_UP_S
        return holder

    async def report_usage(
        self, window: int, counts: dict[AccountName, int], fence: FenceNumber
    ) -> Result[None, Any]:
        self.sent.append((window, counts, fence))
        return Ok(None)

    def count(self, number: int) -> None:
        """Writes a count of the first window to the log."""
        self.counter.add(AccountName("a"), WINDOW * WINDOW_US, number)
        record = self.counter.take(WINDOW * WINDOW_US)
        assert record is not None
        self.log.topics["usage"].append(usage.encode(record))

    async def write(self, holder: UsageReporting) -> None:
        await holder.count_once()

    async def send(self, holder: UsageReporting) -> None:
        """Sends all reports that are due."""
        state = holder.follower.fold.usage
        while True:
            report, _ = holder.sends.next_report(state, self.elapsed_s)
            if report is None:
                return
            await holder._send_report(report)

    def counts(self, window: int = WINDOW) -> list[dict[AccountName, int]]:
        return [counts for number, counts, _ in self.sent if number == window]

    async def test_lost_append_is_repeated_with_the_same_counts(self) -> None:
        holder = await self.holder("t1")
        self.count(3)
        self.log.delays = True
        await self.write(holder)
        self.log.delays = False
        self.count(4)
        await self.write(holder)
        self.log.topics["steps"] += self.log.delayed
        self.assertTrue(await holder._is_current())
        await self.send(holder)
        self.assertEqual(self.counts(), [{"a": 3}])

    async def test_counts_that_follow_an_outage_of_the_log_are_reported(self) -> None:
        # The holder reaches the log again before another node repeats its append.
        holder = await self.holder("t1")
        holder.contact_since_s = None
        await self.write(holder)
        self.elapsed_s += usage_reports.CATCH_UP_S - 0.1
        self.count(3)
        await self.write(holder)
        self.elapsed_s += 0.2
        await self.write(holder)
        await self.send(holder)
        self.assertEqual(self.counts(), [{"a": 3}])

    async def test_log_that_fails_again_and_again_does_not_stop_reports(self) -> None:
        holder = await self.holder("t1")
        self.count(3)
        for _ in range(2):
            holder.contact_since_s = None
            await self.write(holder)
            self.now_us += 20 * US_PER_S
        await self.send(holder)
        self.assertEqual(self.counts(), [{"a": 3}])

    async def test_next_holder_sends_what_the_last_one_wrote(self) -> None:
        self.count(3)
        await self.write(await self.holder("t1"))
        self.count(4)
        holder = await self.holder("t2")
        await self.write(holder)
        await self.send(holder)
        self.assertEqual(self.counts(), [{"a": 3}])

    async def test_late_report_of_the_last_holder_has_no_effect(self) -> None:
        # The append of a holder that was replaced takes effect seconds later.
        self.count(3)
        self.log.delays = True
        await self.write(await self.holder("t1"))
        self.log.delays = False
        holder = await self.holder("t2")
        self.log.topics["steps"] += self.log.delayed
        self.count(4)
        await self.write(holder)
        await self.send(holder)
        self.assertEqual(self.counts(), [{"a": 7}])

    async def test_report_that_was_not_sent_outlives_the_retention(self) -> None:
        self.count(3)
        holder = await self.holder("t1")
        await self.write(holder)
        expired = len(self.log.topics["steps"])
        self.elapsed_s += usage_reports.REPEAT_INTERVAL_S + 0.1
        await self.write(holder)
        self.log.first = {"steps": expired, "usage": 1}
        self.now_us += 20 * US_PER_S
        next_holder = await self.holder("t2")
        await self.write(next_holder)
        await self.send(next_holder)
        self.assertEqual(self.counts(), [{"a": 3}])

    async def test_window_whose_counts_have_expired_is_not_reported(self) -> None:
        self.now_us -= WINDOW_US
        await self.write(await self.holder("t1"))
        self.count(3)
        self.log.first["usage"] = 1
        self.now_us += 25 * US_PER_S
        holder = await self.holder("t2")
        await self.write(holder)
        await self.send(holder)
        self.assertEqual(self.counts(), [])
        # Later windows are whole; they are reported though they have no requests.
        self.assertIn({}, [counts for _, counts, _ in self.sent])

    async def test_holder_without_the_newest_fence_writes_nothing(self) -> None:
        holder = await self.holder("t1")
        await self.holder("t2")
        self.count(3)
        await self.write(holder)
        await self.send(holder)
        self.assertEqual(self.counts(), [])
