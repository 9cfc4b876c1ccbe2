"""Test the decoding of the owners of partitions."""

import unittest
from typing import Any

import msgspec
from result import Err, Ok

from fulmarpulley_node.platform.owner_rows import decode_owners
from fulmarpulley_node.rollout.interfaces import PartitionOwner

ROW = ["steps", 1, "n1/x", 7]


class OwnerRowsTest(unittest.TestCase):
    """Guards against rows that hide the owners, or make all partitions look unowned."""

    def decode(self, reply: Any) -> Any:
        return decode_owners(msgspec.json.encode(reply), "steps")

    def test_rows_are_read_from_the_named_or_the_only_list(self) -> None:
        expected = Ok([PartitionOwner(1, "n1/x")])
        self.assertEqual(self.decode({"parts": [ROW], "Other": []}), expected)
        self.assertEqual(self.decode({"Owners": [ROW], "Generation": 3}), expected)
        self.assertEqual(self.decode({"parts": []}), Ok([]))

    def test_odd_rows_and_other_topics_are_left_out(self) -> None:
        odd = [None, ["steps"], ["steps", "1", "n"], ["other", 1, "n", 0], 5]
        unowned = ["steps", 2, "", 0]
        reply = {"parts": [*odd, unowned, [*ROW, "more"]]}
        self.assertEqual(self.decode(reply), Ok([PartitionOwner(1, "n1/x")]))

    def test_answer_without_usable_rows_is_a_failure(self) -> None:
        for reply in ({}, [], {"a": [ROW], "b": [ROW]}, {"parts": [{"Topic": "x"}]}):
            self.assertIsInstance(self.decode(reply), Err)
        self.assertIsInstance(decode_owners(b"\xff", "steps"), Err)
