"""Decide when the owner of a partition may give orders to engines.

An owner announces each order on the log before it gives it. The announcements before
its own fence tell a new owner when the last order of another one can have been given;
announcements after its fence are void, and their writers see the fence when they read
the log back. Times are those at which this node read the announcements: these are
never too early, and need no clock that two nodes share. A node that has not followed
the partition reads all of them late, so others tell on the log how old its records are
at least. Each engine counts by itself, so that those without a recent order of another
owner need not wait.
"""

import msgspec

from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence, RecordAges

from ..ids import UpstreamId

# An announced order is given within this time or announced again.
INTENT_VALIDITY_S = 0.5
# An order reaches its engine within this time, unless a link is harmed.
ORDER_DELIVERY_S = 0.25
# Upstreams that are gone are forgotten after this time, which no lease reaches.
INTENT_RETENTION_S = 120.0


class LatestIntent(msgspec.Struct):
    """Hold the newest announcement for an engine and a time that it is not after."""

    at_s: float
    offset: int


class OrderHistory:
    """Hold the newest tenure, and when orders of it and of others were announced."""

    def __init__(self) -> None:
        self.tenure = ""
        # Seconds at which the record that is applied next was read, and its offset.
        self.record_read_at_s = 0.0
        self.offset = 0
        self.own_intents: dict[UpstreamId, LatestIntent] = {}
        self.other_intents: dict[UpstreamId, LatestIntent] = {}

    def apply_fence(self, record: OwnerFence) -> None:
        """Let a new tenure begin; orders of earlier ones are void from now on."""
        if record.tenure == self.tenure:
            return
        self.tenure = record.tenure
        # The last announcement for an engine is the one that counts.
        self.other_intents = {
            upstream: intent
            for upstream, intent in (self.other_intents | self.own_intents).items()
            if intent.at_s > self.record_read_at_s - INTENT_RETENTION_S
        }
        self.own_intents = {}

    def apply_intent(self, record: OrderIntent) -> None:
        """Note an order, unless a newer tenure has begun."""
        if record.tenure == self.tenure:
            self.own_intents[UpstreamId(record.upstream)] = LatestIntent(
                self.record_read_at_s, self.offset
            )

    def apply_ages(self, record: RecordAges) -> None:
        """Take announcements as older than their reading shows."""
        for age in record.ages:
            limit_s = self.record_read_at_s - age.age_ms / 1000
            for intent in (*self.own_intents.values(), *self.other_intents.values()):
                if intent.offset < age.before:
                    intent.at_s = min(intent.at_s, limit_s)

    def allowed_from_s(
        self, tenure: str, upstream: UpstreamId, lease_s: float
    ) -> float | None:
        """Return the time from which a tenure may give orders to an upstream.

        None means that the tenure is not the newest one and may never order.
        """
        if tenure != self.tenure:
            return None
        last = self.other_intents.get(upstream)
        last_s = float("-inf") if last is None else last.at_s
        return last_s + wait_s(lease_s)


def wait_s(lease_s: float) -> float:
    """Return how long after an announcement another owner may order.

    :param lease_s: time that lies between the orders of two owners
    """
    return lease_s + INTENT_VALIDITY_S + ORDER_DELIVERY_S
