"""Hold sets of slots as integers; bit n stands for slot n."""

import base64
import binascii
from collections.abc import Iterable, Iterator

# Up to this many slots are found one by one; beyond it a pass over all bytes is
# faster, because each step of the former copies the whole bitmap.
MAX_SPARSE_SLOTS = 256


class BitmapError(ValueError):
    """Report a bitmap that cannot be decoded or names slots that do not exist."""


def decode_bitmap(text: str, slots: int) -> int:
    """Decode base64 of little-endian bytes; raise BitmapError on a wrong bitmap."""
    try:
        bits = int.from_bytes(base64.b64decode(text, validate=True), "little")
    except (binascii.Error, ValueError) as error:
        raise BitmapError(f"held is not base64: {error}") from None
    if bits >> slots:
        raise BitmapError(f"held names slots beyond the {slots} of the step")
    return bits


def encode_bitmap(bits: int) -> str:
    """Encode a bitmap as base64 of little-endian bytes."""
    return base64.b64encode(
        bits.to_bytes(-(-bits.bit_length() // 8), "little")
    ).decode()


def slots_of(bits: int) -> Iterator[int]:
    """Yield the slots of a bitmap in ascending order."""
    if bits.bit_count() > MAX_SPARSE_SLOTS:
        yield from _dense_slots_of(bits)
        return
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low


def bitmap_of(slots: Iterable[int]) -> int:
    """Return the bitmap of some slots."""
    bits = 0
    for slot in slots:
        bits |= 1 << slot
    return bits


def _dense_slots_of(bits: int) -> Iterator[int]:
    data = bits.to_bytes(-(-bits.bit_length() // 8), "little")
    for index, byte in enumerate(data):
        if byte:
            yield from (index * 8 + bit for bit in range(8) if byte >> bit & 1)
