"""Measure the claim table by keys inside the retention of the log."""

import msgspec

from fulmarpulley_core.claim_messages import AppendClaim, ServiceKey
from fulmarpulley_core.claims import ClaimTable
from fulmarpulley_core.ids import NodeId, Offset, Partition, RequestKey, ServiceName
from fulmarpulley_schema.generated.records import (
    Claims,
    OutcomeEntry,
    OutcomeKind,
    Outcomes,
    Record,
    RecordKind,
)

from .measure import MEASUREMENTS, Point, Series, allocated_bytes, median_cpu_us, series

KEYS = (1024, 4096, 16384)
# Entries of one append; the log takes several hundred appends a second.
BATCH = 32
# An answer of 240 tokens, below the 16 KiB that the log takes.
ANSWER_BYTES = 1000
MEASURED_KEYS = 512


class ClaimStream:
    """Claim keys, read the claims back and record the answers."""

    def __init__(self, keys: int, answer_bytes: int = ANSWER_BYTES) -> None:
        self.table = ClaimTable(Partition(0), NodeId("n1"), "1")
        self.table.set_first_offset(Offset(1))
        self.offset = 0
        self.answer_bytes = answer_bytes
        self.appended_bytes = 0
        self.keys = 0
        self.add(keys)

    def add(self, keys: int) -> int:
        """Run some keys from their claim to their answer and count them."""
        for _ in range(keys // BATCH):
            entries = [self._claim() for _ in range(BATCH)]
            claims = [entry.entry for entry in entries]
            self._append(RecordKind.CLAIMS, Claims(entries=claims))
            outcomes = [self._finish(entry) for entry in entries]
            self._append(RecordKind.OUTCOMES, Outcomes(entries=outcomes))
        return keys

    def _claim(self) -> AppendClaim:
        self.keys += 1
        text = f"k0-{self.offset + 1}-{self.keys:016x}"
        key = ServiceKey(ServiceName("trial-desk"), RequestKey(text))
        decision = self.table.request(key, f"{self.keys:016x}")
        if not isinstance(decision, AppendClaim):
            raise TypeError(f"no claim for a new key: {decision}")
        return decision

    def _finish(self, claim: AppendClaim) -> OutcomeEntry:
        entry = claim.entry
        self.table.begin(entry.claim_id)
        answer = {"text": f"{self.keys:0{self.answer_bytes}d}"}
        ended = self.table.finish(entry.claim_id, OutcomeKind.ANSWERED, answer)
        if ended.record is None:
            raise TypeError(f"no outcome for {entry.claim_id}: {ended}")
        return ended.record

    def _append(self, kind: RecordKind, body: Claims | Outcomes) -> None:
        record = Record(
            record_id=f"{kind}-{self.offset}", kind=kind, body=msgspec.to_builtins(body)
        )
        data = msgspec.json.encode(record)
        self.appended_bytes += len(data)
        self.offset += 1
        self.table.apply(Offset(self.offset), msgspec.json.decode(data, type=Record))


@MEASUREMENTS.register("claims")
def measure_claims() -> list[Series]:
    """Measure memory, cost and bytes on the log of a key from claim to answer."""
    memory, bare, cost, size = [], [], [], []
    for keys in KEYS:
        used, stream = allocated_bytes(lambda k=keys: ClaimStream(k))  # type: ignore[misc]
        memory.append(Point(keys, used))
        size.append(Point(keys, stream.appended_bytes / keys))
        cost.append(Point(keys, median_cpu_us(lambda s=stream: s.add(MEASURED_KEYS))))  # type: ignore[misc]
        used, _ = allocated_bytes(lambda k=keys: ClaimStream(k, 10))  # type: ignore[misc]
        bare.append(Point(keys, used))
    return [
        series(f"claims.memory, answers of {ANSWER_BYTES} B", "bytes", "keys", memory),
        series("claims.memory, answers of 10 B", "bytes", "keys", bare),
        series("claims.key from claim to answer", "us", "keys", cost),
        series("claims.log bytes per key", "bytes", "keys", size),
    ]
