"""Test that nodes share rate limits through the log, and without it."""

import asyncio
import unittest
from typing import Any

from result import Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.send_schedule import BURST_REQUESTS, US_PER_S
from fulmarpulley_core.rollout.stated_limits import Incarnation
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_node.rollout import rate_limits
from fulmarpulley_node.rollout.clock import elapsed_s
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.rate_limits import RateLimits
from fulmarpulley_node.rollout.shared_limits import SharedLimits

DESK = Incarnation(UpstreamId("d0"), 1)
LISTED = ListedUpstream(
    upstream_id=UpstreamId("d0"),
    service=ServiceName("desk"),
    address="h:1",
    data_centre=DataCentre("a1"),
    started_ms=1,
)
INTERVAL_US = US_PER_S // 2


class MemoryLog:
    """Holds one partition; while it is down, no call is answered."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.down = False

    async def append(
        self, topic: str, partition: int, records: list[bytes]
    ) -> Result[int, StoreFailure]:
        await self.answer()
        offset = len(self.records)
        self.records += records
        await asyncio.sleep(0.002)
        return Ok(offset)

    async def read(
        self, topic: str, partition: int, start: int, wait_s: float, max_bytes: int = 0
    ) -> Result[LogPage, StoreFailure]:
        await self.answer()
        end = len(self.records)
        if start < self.first:
            return Ok(LogPage(self.first, [], self.first + 1, self.first))
        count = 1 if max_bytes else 50
        return Ok(LogPage(start, self.records[start : start + count], end, self.first))

    async def answer(self) -> None:
        await asyncio.sleep(0.001)
        if self.down:
            await asyncio.sleep(3600)


def node(log: MemoryLog, name: str = "n1", clock_ahead_s: float = 0.0) -> SharedLimits:
    store: Any = log
    shared = SharedLimits(settings(), store)
    shared.settings.node_id = name
    shared.clock_lead_us = int(clock_ahead_s * US_PER_S)
    return shared


class SharedLimitsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.log = MemoryLog()

    async def test_nodes_with_different_clocks_share_one_limit(self) -> None:
        nodes = [node(self.log, f"n{n}", clock_ahead_s=n % 3) for n in range(9)]
        asked = [
            n.reserve(DESK, INTERVAL_US, US_PER_S) for n in nodes for _ in range(5)
        ]
        send_times = await asyncio.gather(*asked)
        granted = [s for s in send_times if s is not None and s.granted]
        # A burst, two turns in the second that requests may wait, and another burst
        # for each of the clocks that is further ahead.
        self.assertLessEqual(len(granted), 3 * (BURST_REQUESTS + 2))
        self.assertGreaterEqual(len(granted), BURST_REQUESTS + 2)
        # From then on, all nodes use the clock that is furthest ahead.
        again = [await n.reserve(DESK, INTERVAL_US, 0) for n in nodes]
        self.assertFalse(any(s.granted for s in again if s is not None))

    async def test_node_that_starts_late_reads_the_turns_of_others(self) -> None:
        first = node(self.log)
        for _ in range(BURST_REQUESTS):
            await first.reserve(DESK, INTERVAL_US, 0)
        late = await node(self.log, "n2").reserve(DESK, INTERVAL_US, 0)
        assert late is not None
        self.assertFalse(late.granted)

    async def test_expired_and_foreign_records_are_skipped(self) -> None:
        self.log.records = [b"gone"] * 70 + [b"\x01foreign"] * 60
        self.log.first = 70
        send_time = await node(self.log).reserve(DESK, INTERVAL_US, 0)
        assert send_time is not None
        self.assertTrue(send_time.granted)

    async def test_log_that_does_not_answer_is_not_waited_for(self) -> None:
        shared = node(self.log)
        await shared.reserve(DESK, INTERVAL_US, 0)
        self.log.down = True
        started_at = elapsed_s()
        self.assertIsNone(await shared.reserve(DESK, INTERVAL_US, US_PER_S))
        self.assertIsNone(await shared.reserve(DESK, INTERVAL_US, US_PER_S))
        self.assertLess(elapsed_s() - started_at, 1.0)
        await shared.tasks.stop()


class RateLimitsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.log = MemoryLog()

    def limits(self, shared: SharedLimits) -> RateLimits:
        limits = RateLimits(shared, RolloutMetrics())
        limits.record_response(LISTED, 2.0, sent_at=0.0)
        return limits

    async def test_each_node_keeps_to_its_share_while_the_log_is_down(self) -> None:
        all_shared = [node(self.log, f"n{n}") for n in range(4)]
        for shared in all_shared:
            await shared.reserve(DESK, INTERVAL_US, 0)
        # The last node has read the records of all others.
        self.assertEqual(all_shared[-1].count_nodes(), 4)
        self.log.down = True
        limits = self.limits(all_shared[-1])
        held_back = await limits.take_shared(LISTED, 1.0)
        assert held_back is not None and held_back.retry_after_s is not None
        self.assertIs(held_back.failure, Failure.RATE_LIMITED)
        # Four nodes, two requests a second: a turn every two seconds.
        self.assertAlmostEqual(held_back.retry_after_s, 2.0, delta=0.5)
        await all_shared[-1].tasks.stop()

    async def test_turn_that_passed_during_a_pause_is_not_used(self) -> None:
        # Guards against requests that a suspended process sends by an expired turn.
        limits = self.limits(node(self.log))
        times = iter([0.0, 0.0])
        original = rate_limits.elapsed_s
        self.addCleanup(setattr, rate_limits, "elapsed_s", original)

        def paused() -> float:
            return original() + next(times, 5.0)

        rate_limits.elapsed_s = paused
        held_back = await limits.take_shared(LISTED, 1.0)
        assert held_back is not None
        self.assertEqual(held_back.retry_after_s, 0.0)

    async def test_response_without_a_limit_lets_all_requests_pass(self) -> None:
        limits = self.limits(node(self.log))
        limits.record_response(LISTED, None, sent_at=float("inf"))
        for _ in range(20):
            self.assertIsNone(await limits.take_shared(LISTED, 0.0))
        self.assertEqual(self.log.records, [])
