"""Encode the records of a step partition, and split large ones.

The first byte of a record is its kind. A record above the size limit of the log is
split into parts, which are written by a single append.
"""

from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec

from fulmarpulley_schema.codec import from_msgpack
from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResults,
    ItemsGenerated,
    OrderIntent,
    OwnerFence,
    RecordAges,
    StepAccepted,
    StepEnded,
    UpstreamsWanted,
    UsageReport,
)

StepRecord = (
    StepAccepted
    | ItemResults
    | ItemProgress
    | ItemsGenerated
    | StepEnded
    | OwnerFence
    | OrderIntent
    | RecordAges
    | UsageReport
    | UpstreamsWanted
)


class RecordKind(IntEnum):
    """Enumerate the values of the first byte of a record."""

    STEP_ACCEPTED = 1
    ITEM_RESULTS = 2
    ITEM_PROGRESS = 3
    STEP_ENDED = 4
    OWNER_FENCE = 5
    ORDER_INTENT = 6
    ITEMS_GENERATED = 7
    RECORD_AGES = 8
    USAGE_REPORT = 9
    UPSTREAMS_WANTED = 10
    PART = 16
    LAST_PART = 17


RECORD_TYPES: dict[int, type[StepRecord]] = {
    RecordKind.STEP_ACCEPTED: StepAccepted,
    RecordKind.ITEM_RESULTS: ItemResults,
    RecordKind.ITEM_PROGRESS: ItemProgress,
    RecordKind.STEP_ENDED: StepEnded,
    RecordKind.OWNER_FENCE: OwnerFence,
    RecordKind.ORDER_INTENT: OrderIntent,
    RecordKind.ITEMS_GENERATED: ItemsGenerated,
    RecordKind.RECORD_AGES: RecordAges,
    RecordKind.USAGE_REPORT: UsageReport,
    RecordKind.UPSTREAMS_WANTED: UpstreamsWanted,
}
_KIND_BY_TYPE = {kind: number for number, kind in RECORD_TYPES.items()}
_encoder = msgspec.msgpack.Encoder()


def encode(record: StepRecord) -> bytes:
    """Encode a record, with its kind as the first byte."""
    return bytes([_KIND_BY_TYPE[type(record)]]) + _encoder.encode(record)


def split(data: bytes, record_bytes: int) -> list[bytes]:
    """Split an encoded record into parts of at most `record_bytes`."""
    if len(data) <= record_bytes:
        return [data]
    size = record_bytes - 1
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    last = len(parts) - 1
    part, end = bytes([RecordKind.PART]), bytes([RecordKind.LAST_PART])
    return [
        (end if index == last else part) + data_part
        for index, data_part in enumerate(parts)
    ]


class RecordReader:
    """Join the parts of records and decode them."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self.unreadable = 0

    def read(self, data: bytes) -> StepRecord | None:
        """Return the record that this data completes, or None.

        Data that cannot be decoded is counted and skipped: another writer left it.
        """
        kind = data[0] if data else 0
        if kind == RecordKind.PART:
            self._parts.append(data[1:])
            return None
        if kind == RecordKind.LAST_PART:
            data = b"".join((*self._parts, data[1:]))
        self._parts.clear()
        return self._decode(data)

    def read_all(self, records: Iterable[bytes]) -> Iterator[StepRecord | None]:
        """Read several pieces of data; see `read`."""
        return (self.read(data) for data in records)

    def _decode(self, data: bytes) -> StepRecord | None:
        record_type = RECORD_TYPES.get(data[0]) if data else None
        if record_type is not None:
            try:
                return from_msgpack(data[1:], record_type)
            except msgspec.DecodeError:
                pass
        self.unreadable += 1
        return None
