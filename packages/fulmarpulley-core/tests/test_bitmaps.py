from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarpulley_core.bitmaps import (
    BitmapError,
    bitmap_of,
    decode_bitmap,
    encode_bitmap,
    slots_of,
)


class BitmapTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.sets(st.integers(0, 2000), max_size=600))
    def test_slots_survive_a_round_trip(self, slots: set[int]) -> None:
        """Guards against slots that are off by one."""
        bits = decode_bitmap(encode_bitmap(bitmap_of(slots)), 2001)
        self.assertEqual(list(slots_of(bits)), sorted(slots))

    def test_encoding_is_little_endian(self) -> None:
        """Guards against a bit order that differs from that of the trainers."""
        self.assertEqual(decode_bitmap("AQI=", 16), 1 << 0 | 1 << 9)

    def test_many_slots_are_found(self) -> None:
        """Guards against faults in the pass over all bytes, used for large sets."""
        slots = list(range(0, 16_384, 3))
        self.assertEqual(list(slots_of(bitmap_of(slots))), slots)

    def test_bitmap_beyond_the_step_is_refused(self) -> None:
        """Guards against invalid slots that silently count as held."""
        for text in (encode_bitmap(1 << 12), "%%%", "\u00e9"):
            with self.assertRaises(BitmapError):
                decode_bitmap(text, 12)
