"""Guard the least ages of records that nodes tell on the log."""

import unittest
from typing import Any
from unittest import mock

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import Partition
from fulmarpulley_node.rollout import age_marks
from fulmarpulley_node.rollout.age_marks import MARK_S, AgeMarks, pause_s
from fulmarpulley_node.rollout.interfaces import StoreFailure
from fulmarpulley_schema.generated.steps import RecordAges

APPEND_S = 0.25


class Partitions:
    """Takes appends of 0.25 s; one that fails may have taken effect."""

    def __init__(self, clock: list[float]) -> None:
        self.clock = clock
        self.followers = [None] * 4
        self.marks: list[tuple[Partition, RecordAges]] = []
        self.failing = False
        self.end = 10

    async def write(
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
        patched = mock.patch.object(age_marks, "elapsed_s", lambda: clock[0])
        self.enterContext(patched)
        self.partitions = Partitions(clock)
        directory: Any = None
        log: Any = self.partitions
        self.marks = AgeMarks(settings(), directory, log, Partition(3))

    def last(self) -> list[tuple[int, int]]:
        return [(age.before, age.age_ms) for age in self.partitions.marks[-1][1].ages]

    async def test_mark_tells_the_time_since_earlier_marks_were_acknowledged(
        self,
    ) -> None:
        # Counting from the sending would make records older than they are: the mark
        # may take effect at any time until its answer.
        await self.marks.mark()
        self.assertEqual(self.last(), [])
        self.clock[0] += 1.0
        await self.marks.mark()
        self.assertEqual(self.last(), [(15, 1000)])
        self.clock[0] += 1.0
        await self.marks.mark()
        self.assertEqual(self.last(), [(15, 2250), (20, 1000)])

    async def test_mark_without_an_answer_tells_nothing(self) -> None:
        self.partitions.failing = True
        await self.marks.mark()
        self.partitions.failing = False
        await self.marks.mark()
        self.assertEqual(self.last(), [])

    async def test_marks_are_kept_for_the_longest_wait_only(self) -> None:
        for _ in range(50):
            await self.marks.mark()
        longest_ms = max(age_ms for _, age_ms in self.last())
        self.assertLess(longest_ms, 10_000)

    async def test_partition_is_the_one_after_the_owned_one(self) -> None:
        await self.marks.mark()
        self.assertEqual(self.partitions.marks[0][0], Partition(0))

    def test_marks_are_rare_while_appends_are_slow(self) -> None:
        # Guards against marks that hold results up on a store that is 50 times slower:
        # two a second would take two fifths of the time of their partition.
        self.assertEqual(pause_s(0.01), MARK_S)
        self.assertGreaterEqual(pause_s(0.2), 4.0)
