"""Assign steps to partitions by the first record that names them.

A step has to stay in one partition whatever its route leads to when it is submitted
again. All nodes fold the same records in the same order, so they agree on it.
"""

import msgspec

from fulmarpulley_schema.codec import from_msgpack
from fulmarpulley_schema.generated.steps import StepPlaced

from ..ids import Partition, StepId

_encoder = msgspec.msgpack.Encoder()


def encode(record: StepPlaced) -> bytes:
    """Encode a record."""
    return _encoder.encode(record)


def decode(data: bytes) -> StepPlaced | None:
    """Decode a record; return None for data that another writer left."""
    try:
        return from_msgpack(data, StepPlaced)
    except msgspec.DecodeError:
        return None


class PlacementFold:
    """Hold the partitions of recent steps."""

    def __init__(self, partitions: int) -> None:
        self.partitions = partitions
        # Ordered by the log, and so almost by age.
        self.placed: dict[StepId, StepPlaced] = {}

    def apply(self, record: StepPlaced) -> None:
        """Apply the next record; later ones of the same step have no effect."""
        if record.partition < self.partitions:
            self.placed.setdefault(StepId(record.step_id), record)

    def find(self, step_id: StepId) -> Partition | None:
        """Return the partition of a step, or None if no record has placed it."""
        record = self.placed.get(step_id)
        return None if record is None else Partition(record.partition)

    def expire(self, oldest_ms: int) -> None:
        """Forget steps that were placed before a time."""
        while self.placed:
            step_id, record = next(iter(self.placed.items()))
            if record.placed_ms >= oldest_ms:
                return
            del self.placed[step_id]
