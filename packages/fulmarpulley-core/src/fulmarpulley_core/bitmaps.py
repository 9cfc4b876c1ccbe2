"""Represent sets of slots as integers; bit n stands for slot n."""

import base64
import binascii
from collections.abc import Iterable, Iterator

# Extracting one bit copies the whole bitmap, so for larger sets a pass over all bytes
# is faster.
MAX_SPARSE_SLOTS = 256


class BitmapError(ValueError):
    """Report a bitmap that cannot be decoded or contains slots that do not exist."""


def decode_bitmap(text: str, slots: int) -> int:
    """Decode base64 of little-endian bytes; raise BitmapError if it is invalid."""
    try:
        bits = int.from_bytes(base64.b64decode(text, validate=True), "little")
    except (binascii.Error, ValueError) as error:
        raise BitmapError(f"bitmap is not valid base64: {error}") from None
    if bits >> slots:
        raise BitmapError(f"bitmap contains slots beyond the {slots} of the step")
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
    """Return the bitmap of a set of slots."""
    bits = 0
    for slot in slots:
        bits |= 1 << slot
    return bits


def _dense_slots_of(bits: int) -> Iterator[int]:
    data = bits.to_bytes(-(-bits.bit_length() // 8), "little")
    for index, byte in enumerate(data):
        if byte:
            yield from (index * 8 + bit for bit in range(8) if byte >> bit & 1)
