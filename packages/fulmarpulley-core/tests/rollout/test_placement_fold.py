"""Test that all nodes place a step in the same partition."""

import unittest

from fulmarpulley_core.ids import StepId
from fulmarpulley_core.rollout.placement_fold import PlacementFold, decode, encode
from fulmarpulley_schema.generated.steps import StepPlaced

PARTITIONS = 4


def placed(step_id: str, partition: int, placed_ms: int) -> StepPlaced:
    return StepPlaced(step_id=step_id, partition=partition, placed_ms=placed_ms)


class PlacementFoldTest(unittest.TestCase):
    """Guards against a step that has two partitions, or none."""

    def test_the_first_record_of_a_step_counts(self) -> None:
        fold = PlacementFold(PARTITIONS)
        fold.apply(placed("s1", 2, 10))
        fold.apply(placed("s1", 1, 5))
        self.assertEqual(fold.find(StepId("s1")), 2)

    def test_partitions_that_do_not_exist_are_ignored(self) -> None:
        fold = PlacementFold(PARTITIONS)
        fold.apply(placed("s1", PARTITIONS, 10))
        fold.apply(placed("s1", 1, 10))
        self.assertEqual(fold.find(StepId("s1")), 1)

    def test_old_placements_are_forgotten(self) -> None:
        fold = PlacementFold(PARTITIONS)
        fold.apply(placed("s1", 1, 10))
        fold.apply(placed("s2", 2, 20))
        fold.expire(oldest_ms=20)
        self.assertIsNone(fold.find(StepId("s1")))
        self.assertEqual(fold.find(StepId("s2")), 2)

    def test_data_of_other_writers_is_no_placement(self) -> None:
        self.assertIsNone(decode(b""))
        self.assertIsNone(decode(b"\xc1"))
        self.assertIsNone(decode(encode(placed("s1", 1, 10))[:-1]))
