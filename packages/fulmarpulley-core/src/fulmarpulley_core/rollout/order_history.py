"""Decide when the owner of a partition may send orders to engines.

An owner appends an intent to the log before it sends an order. From the intents before
its own fence a new owner knows when another owner can have sent its last order. Intents
after the fence are void, and their writers see the fence when they read the log back.
Times are those at which this node read the intents: they are never too early, and no
clock is shared between nodes. A node that has not followed the partition reads all
intents late, so other nodes append a minimum age of the records to the log. Each engine
is tracked separately, so that those without a recent order of another owner need not
wait.
"""

import msgspec

from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence, RecordAges

from ..ids import UpstreamId

# An order is sent within this time after its intent, or needs a new intent.
INTENT_VALIDITY_S = 0.5
# An order reaches its engine within this time unless the link is impaired.
ORDER_DELIVERY_S = 0.25
# Intents for upstreams that are gone are dropped after this time; no lease is as long.
INTENT_RETENTION_S = 120.0


class LatestIntent(msgspec.Struct):
    """Hold the offset and latest possible time of the newest intent for an engine."""

    at_s: float
    offset: int


class OrderHistory:
    """Track the newest tenure and the intents of it and of earlier ones."""

    def __init__(self) -> None:
        # Empty as long as this node has read no fence.
        self.tenure = ""
        # Time in seconds at which the next record to apply was read, and its offset.
        self.record_read_at_s = 0.0
        self.offset = 0
        self.own_intents: dict[UpstreamId, LatestIntent] = {}
        self.other_intents: dict[UpstreamId, LatestIntent] = {}

    def apply_fence(self, record: OwnerFence) -> None:
        """Start a new tenure; intents of earlier ones are void from here on."""
        if record.tenure == self.tenure:
            return
        self.tenure = record.tenure
        # Only the last intent for an engine counts.
        self.other_intents = {
            upstream: intent
            for upstream, intent in (self.other_intents | self.own_intents).items()
            if intent.at_s > self.record_read_at_s - INTENT_RETENTION_S
        }
        self.own_intents = {}

    def apply_intent(self, record: OrderIntent) -> None:
        """Record an intent unless a newer tenure has started.

        A node that first reads the log after the fence of its owner has expired cannot
        tell whose intents are void, so all of them count until the next fence.
        """
        if self.tenure in {"", record.tenure}:
            self.own_intents[UpstreamId(record.upstream)] = LatestIntent(
                self.record_read_at_s, self.offset
            )

    def apply_ages(self, record: RecordAges) -> None:
        """Move the times of intents back to the minimum ages of their records."""
        for age in record.ages:
            limit_s = self.record_read_at_s - age.age_ms / 1000
            for intent in (*self.own_intents.values(), *self.other_intents.values()):
                if intent.offset < age.before:
                    intent.at_s = min(intent.at_s, limit_s)

    def allowed_from_s(
        self, tenure: str, upstream: UpstreamId, lease_s: float
    ) -> float | None:
        """Return the time from which a tenure may send orders to an upstream.

        None means that the tenure is not the newest one and may not send orders.
        """
        if tenure != self.tenure:
            return None
        last = self.other_intents.get(upstream)
        last_s = float("-inf") if last is None else last.at_s
        return last_s + wait_s(lease_s)


def wait_s(lease_s: float) -> float:
    """Return how long after an intent another owner may send an order.

    :param lease_s: minimum time between the orders of two owners
    """
    return lease_s + INTENT_VALIDITY_S + ORDER_DELIVERY_S
