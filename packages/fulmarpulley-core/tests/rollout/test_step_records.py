import unittest

from fulmarpulley_core.rollout.step_records import RecordReader, encode, split
from fulmarpulley_schema.generated.steps import ItemSpec, StepAccepted, StepEnded

SMALL = 64


def large_step() -> StepAccepted:
    items = [
        ItemSpec(
            item_id=f"i{number}",
            path="/p",
            headers={"Model": "m"},
            body=bytes(100),
            prompt_tokens=1,
            max_tokens=1,
        )
        for number in range(5)
    ]
    return StepAccepted(step_id="s", host="h", path="/p", submitted_ms=1, items=items)


class RecordReaderTest(unittest.TestCase):
    def test_read_joins_the_parts_of_a_large_record(self) -> None:
        # The log rejects records above its limit.
        parts = split(encode(large_step()), SMALL)
        self.assertGreater(len(parts), 2)
        self.assertLessEqual(max(map(len, parts)), SMALL)
        found = [r for r in RecordReader().read_all(parts) if r is not None]
        self.assertEqual(found, [large_step()])

    def test_read_counts_and_skips_foreign_data(self) -> None:
        reader = RecordReader()
        found = list(reader.read_all([b"", b"\xff\x01", b"\x04nonsense"]))
        self.assertEqual(found, [None, None, None])
        self.assertEqual(reader.unreadable, 3)
        end = StepEnded(step_id="s")
        self.assertEqual(reader.read(encode(end)), end)

    def test_read_from_the_middle_of_a_large_record_skips_it(self) -> None:
        # Earlier parts may have expired on the log.
        parts = split(encode(large_step()), SMALL)
        reader = RecordReader()
        self.assertEqual([*reader.read_all(parts[1:])], [None] * len(parts[1:]))
        end = StepEnded(step_id="s")
        self.assertEqual(reader.read(encode(end)), end)
