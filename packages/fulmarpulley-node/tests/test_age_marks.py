"""Test the lower bounds on record ages that nodes append to the log."""

import unittest
from typing import Any
from unittest import mock

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import Partition
from fulmarpulley_node.rollout import age_marks
from fulmarpulley_node.rollout.age_marks import MARK_INTERVAL_S, AgeMarkWriter, pause_s
from fulmarpulley_node.rollout.interfaces import StoreFailure
from fulmarpulley_schema.generated.steps import RecordAges

APPEND_S = 0.25


class FakePartitions:
    """Takes 0.25 s for each append; a failed one may have taken effect."""

    def __init__(self, clock: list[float]) -> None:
        self.clock = clock
        self.followers = [None] * 4
        self.marks: list[tuple[Partition, RecordAges]] = []
        self.failing = False
        self.end = 10

    async def append_without_following(
        self, partition: Partition, records: list[RecordAges]
    ) -> Result[int, StoreFailure]:
        self.marks += [(partition, record) for record in records]
        self.clock[0] += APPEND_S
        self.end += 5
        return Err(StoreFailure.UNKNOWN) if self.failing else Ok(self.end)


class AgeMarksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        clock = [100.0]
        self.clock = clock
        patch = mock.patch.object(age_marks, "elapsed_s", lambda: clock[0])
        self.enterContext(patch)
        self.partitions = FakePartitions(clock)
        directory: Any = None
        partitions: Any = self.partitions
        self.marks = AgeMarkWriter(settings(), directory, partitions, Partition(3))

    def last_mark_ages(self) -> list[tuple[int, int]]:
        return [(age.before, age.age_ms) for age in self.partitions.marks[-1][1].ages]

    async def test_mark_reports_ages_since_acknowledgement(
        self,
    ) -> None:
        # Ages counted from the time of sending would be too high: an append may take
        # effect at any time until it is acknowledged.
        await self.marks.append_mark()
        self.assertEqual(self.last_mark_ages(), [])
        self.clock[0] += 1.0
        await self.marks.append_mark()
        self.assertEqual(self.last_mark_ages(), [(15, 1000)])
        self.clock[0] += 1.0
        await self.marks.append_mark()
        self.assertEqual(self.last_mark_ages(), [(15, 2250), (20, 1000)])

    async def test_unacknowledged_mark_is_not_reported(self) -> None:
        self.partitions.failing = True
        await self.marks.append_mark()
        self.partitions.failing = False
        await self.marks.append_mark()
        self.assertEqual(self.last_mark_ages(), [])

    async def test_ages_are_reported_up_to_longest_wait(self) -> None:
        for _ in range(50):
            await self.marks.append_mark()
        longest_ms = max(age_ms for _, age_ms in self.last_mark_ages())
        self.assertLess(longest_ms, 10_000)

    async def test_marked_partition_follows_owned_partition(self) -> None:
        await self.marks.append_mark()
        self.assertEqual(self.partitions.marks[0][0], Partition(0))

    def test_mark_pause_grows_when_appends_are_slow(self) -> None:
        # Guards against marks that delay results when the store is 50 times slower: two
        # a second would take two fifths of the partition's append time.
        self.assertEqual(pause_s(0.01), MARK_INTERVAL_S)
        self.assertGreaterEqual(pause_s(0.2), 4.0)
