"""Issue and parse request keys that contain the lowest offset of their claims."""

import re

import msgspec

from .ids import Offset, Partition, RequestKey

_ISSUED = re.compile(r"k(\d{1,6})-(\d{1,18})-([0-9A-Za-z_]+)")


class IssuedKey(msgspec.Struct, frozen=True):
    """Hold the parts of an issued key; no claim for it is stored below `offset`."""

    partition: Partition
    offset: Offset
    random_text: str

    def text(self) -> RequestKey:
        """Return the key in the form that callers use."""
        return RequestKey(f"k{self.partition}-{self.offset}-{self.random_text}")


def parse_key(key: str) -> IssuedKey | None:
    """Return the parts of an issued key, or None for a key that a caller chose."""
    match = _ISSUED.fullmatch(key)
    if match is None:
        return None
    partition, offset, random_text = match.groups()
    return IssuedKey(Partition(int(partition)), Offset(int(offset)), random_text)
