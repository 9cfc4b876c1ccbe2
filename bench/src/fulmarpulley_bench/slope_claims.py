"""Measure the claim table by the number of keys retained in the log."""

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
# Entries per append; the log accepts several hundred appends per second.
ENTRIES_PER_APPEND = 32
# An answer of 240 tokens, below the limit of 16 KiB for the log.
ANSWER_BYTES = 1000
MEASURED_KEYS = 512


class ClaimStream:
    """Claim keys, apply the claims from the log and record the answers."""

    def __init__(self, keys: int, answer_bytes: int = ANSWER_BYTES) -> None:
        self.table = ClaimTable(Partition(0), NodeId("n1"), "1")
        self.table.set_first_offset(Offset(1))
        self.offset = 0
        self.answer_bytes = answer_bytes
        self.appended_bytes = 0
        self.keys = 0
        self.add(keys)

    def add(self, keys: int) -> int:
        """Process keys from claim to answer and return their number."""
        for _ in range(keys // ENTRIES_PER_APPEND):
            entries = [self._claim() for _ in range(ENTRIES_PER_APPEND)]
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
            raise TypeError(f"expected a claim for a new key, got {decision}")
        return decision

    def _finish(self, claim: AppendClaim) -> OutcomeEntry:
        entry = claim.entry
        self.table.begin(entry.claim_id)
        answer = {"text": f"{self.keys:0{self.answer_bytes}d}"}
        result = self.table.finish(entry.claim_id, OutcomeKind.ANSWERED, answer)
        if result.record is None:
            raise TypeError(
                f"expected an outcome record for {entry.claim_id}, got {result}"
            )
        return result.record

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
    """Measure memory, processor time and log bytes of keys from claim to answer."""
    memory, small_memory, cost, size = [], [], [], []
    for keys in KEYS:
        used, stream = allocated_bytes(lambda k=keys: ClaimStream(k))  # type: ignore[misc]
        memory.append(Point(keys, used))
        size.append(Point(keys, stream.appended_bytes / keys))
        cost.append(Point(keys, median_cpu_us(lambda s=stream: s.add(MEASURED_KEYS))))  # type: ignore[misc]
        used, _ = allocated_bytes(lambda k=keys: ClaimStream(k, 10))  # type: ignore[misc]
        small_memory.append(Point(keys, used))
    return [
        series(f"claims.memory, answers of {ANSWER_BYTES} B", "bytes", "keys", memory),
        series("claims.memory, answers of 10 B", "bytes", "keys", small_memory),
        series("claims.key from claim to answer", "us", "keys", cost),
        series("claims.log bytes per key", "bytes", "keys", size),
    ]
