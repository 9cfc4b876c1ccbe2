"""Encode the log records by which nodes share what crashes upstreams."""

import msgspec

from fulmarpulley_schema.codec import from_msgpack, to_msgpack
from fulmarpulley_schema.generated.crashes import CrashReport, RequestCompleted

from ..ids import RequestDigest, UpstreamId
from .stated_limits import Incarnation

CrashRecord = CrashReport | RequestCompleted
RECORD_TYPES: dict[int, type[CrashRecord]] = {1: CrashReport, 2: RequestCompleted}
_NUMBER_BY_TYPE = {kind: number for number, kind in RECORD_TYPES.items()}
# Other writers may leave longer texts, which the evidence must not keep.
MAX_NAME_LENGTH = 256


def encode(record: CrashRecord) -> bytes:
    """Encode a record, with its type as the first byte."""
    return bytes([_NUMBER_BY_TYPE[type(record)]]) + to_msgpack(record)


def decode(data: bytes) -> CrashRecord | None:
    """Decode a record; return None for data that another writer left."""
    record_type = RECORD_TYPES.get(data[0]) if data else None
    if record_type is None:
        return None
    try:
        record = from_msgpack(data[1:], record_type)
    except msgspec.DecodeError:
        return None
    return record if all(len(n) <= MAX_NAME_LENGTH for n in _names(record)) else None


def incarnation_in(report: CrashReport) -> Incarnation:
    """Return the start of the upstream that a report names."""
    return Incarnation(UpstreamId(report.upstream), report.started_ms)


def requests_in(report: CrashReport) -> list[RequestDigest]:
    """Return the requests that a report names."""
    return [RequestDigest(request) for request in report.requests]


def _names(record: CrashRecord) -> list[str]:
    if isinstance(record, CrashReport):
        return [record.node_id, record.upstream, *record.requests]
    return [record.node_id, record.request]
