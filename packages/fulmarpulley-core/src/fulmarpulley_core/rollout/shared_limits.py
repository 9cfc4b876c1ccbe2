"""Share the rate limits of upstreams between nodes by records on the log.

Each node asks for a send time by a record. Whether a request is granted, and when it
may be sent, follows from the records before it, so that all readers agree.
"""

import msgspec

from fulmarpulley_schema.codec import from_msgpack
from fulmarpulley_schema.generated.limits import NodeSeen, SendRequest

from ..ids import NodeId, UpstreamId
from .send_schedule import US_PER_S, Reservation, SendSchedule
from .stated_limits import Incarnation

LimitRecord = SendRequest | NodeSeen
RECORD_TYPES: dict[int, type[LimitRecord]] = {1: SendRequest, 2: NodeSeen}
_KIND_BY_TYPE = {kind: number for number, kind in RECORD_TYPES.items()}
_encoder = msgspec.msgpack.Encoder()
# Nodes write a record at least this often, while the log answers.
SEEN_INTERVAL_S = 20.0
SEEN_TIMEOUT_US = int(3 * SEEN_INTERVAL_S * US_PER_S)


def encode(record: LimitRecord) -> bytes:
    """Encode a record, with its kind as the first byte."""
    return bytes([_KIND_BY_TYPE[type(record)]]) + _encoder.encode(record)


def decode(data: bytes) -> LimitRecord | None:
    """Decode a record; return None for data that another writer left."""
    record_type = RECORD_TYPES.get(data[0]) if data else None
    if record_type is None:
        return None
    try:
        return from_msgpack(data[1:], record_type)
    except msgspec.DecodeError:
        return None


def incarnation_in(request: SendRequest) -> Incarnation:
    """Return the incarnation of the upstream that a request names."""
    return Incarnation(UpstreamId(request.upstream), request.started_ms)


class SharedLimitsFold:
    """Fold the records of all nodes, in the order of the log."""

    def __init__(self) -> None:
        self.schedule = SendSchedule()
        # Newest time of the clock that the nodes share.
        self.newest_us = 0
        self._seen_at_us: dict[NodeId, int] = {}

    def apply(self, record: LimitRecord) -> Reservation | None:
        """Apply a record; return the reservation of a request."""
        self.newest_us = max(self.newest_us, record.at_us)
        self._seen_at_us[NodeId(record.node_id)] = record.at_us
        if isinstance(record, NodeSeen):
            return None
        return self.schedule.reserve(
            incarnation_in(record),
            record.interval_us,
            record.at_us,
            record.max_wait_us,
        )

    def count_nodes(self) -> int:
        """Return how many nodes have written a record recently."""
        oldest_us = self.newest_us - SEEN_TIMEOUT_US
        self._seen_at_us = {
            node: at_us for node, at_us in self._seen_at_us.items() if at_us > oldest_us
        }
        return len(self._seen_at_us)
