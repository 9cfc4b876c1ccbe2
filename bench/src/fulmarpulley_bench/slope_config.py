"""Measure the configuration fold by documents and by changes."""

from typing import Any

import msgspec

from fulmarpulley_core.configuration import ConfigFold
from fulmarpulley_core.ids import Offset
from fulmarpulley_schema.generated.records import Record, RecordKind

from .measure import MEASUREMENTS, Point, Series, allocated_bytes, median_cpu_us, series

DOCUMENTS = (94, 188, 375, 750)
# Upstreams per document; 375 such documents list 12,000 workers.
UPSTREAMS = 32
CHANGES = (1000, 2000, 4000)
TYPICAL_DOCUMENTS = 375


class ChangeStream:
    """Generate changes to services, each based on the current revision."""

    def __init__(self, documents: int) -> None:
        self.fold = ConfigFold()
        self.fold.start_at(Offset(1))
        self.documents = documents
        self.revisions = [0] * documents
        self.offset = 0
        for _ in range(documents):
            self.apply(self.next_record())

    def next_record(self) -> bytes:
        """Return the encoded record of the next change."""
        number = self.offset % self.documents
        self.offset += 1
        body = {
            "service": f"service-{number}",
            "base_revision": self.revisions[number],
            "author": "operator",
            "document": document(number),
        }
        self.revisions[number] = self.offset
        record = Record(
            record_id=f"change-{self.offset}", kind=RecordKind.CHANGE, body=body
        )
        return msgspec.json.encode(record)

    def apply(self, data: bytes) -> None:
        """Decode a record and apply it to the fold."""
        record = msgspec.json.decode(data, type=Record)
        self.fold.apply(Offset(self.fold.offset + 1), record)

    def apply_all(self, records: list[bytes]) -> int:
        """Apply records and return their number."""
        for data in records:
            self.apply(data)
        return len(records)


def document(number: int) -> dict[str, Any]:
    """Return a document with as many upstreams as a pool shard holds."""
    return {
        "name": f"service-{number}",
        "kind": "training",
        "model": f"model-{number}",
        "upstreams": [
            {
                "id": f"worker-{number}-{index}",
                "address": f"http://10.1.{number % 250}.{index}:8000",
                "data_centre": f"dc-{index % 13}",
                "region": f"region-{index % 6}",
                "capacity": 16,
            }
            for index in range(UPSTREAMS)
        ],
        "trainers": [{"id": "trainer-a"}, {"id": "trainer-b"}],
    }


@MEASUREMENTS.register("configuration")
def measure_configuration() -> list[Series]:
    """Measure processor time and memory of documents and of changes."""
    memory, cost, changes = [], [], []
    for size in DOCUMENTS:
        used, stream = allocated_bytes(lambda size=size: ChangeStream(size))  # type: ignore[misc]
        memory.append(Point(size, used))
        cost.append(Point(size, _change_us(stream)))
    for number in CHANGES:
        stream = ChangeStream(TYPICAL_DOCUMENTS)
        records = [stream.next_record() for _ in range(number)]
        used, _ = allocated_bytes(
            lambda stream=stream, records=records: stream.apply_all(records)  # type: ignore[misc]
        )
        changes.append(Point(number, used))
    size = len(ChangeStream(1).next_record())
    record_sizes = [Point(documents, float(size)) for documents in DOCUMENTS]
    return [
        series("configuration.memory by documents", "bytes", "documents", memory),
        series("configuration.change by documents", "us", "documents", cost),
        series("configuration.memory by changes", "bytes", "changes", changes),
        series("configuration.record size", "bytes", "documents", record_sizes),
    ]


def _change_us(stream: ChangeStream) -> float:
    def apply() -> int:
        return stream.apply_all(batches.pop())

    batches = [[stream.next_record() for _ in range(300)] for _ in range(3)]
    batches.reverse()
    return median_cpu_us(apply, repeats=3)
