"""Decide when the owner of a partition may give orders to engines.

An owner announces each order on the log before it gives it. The announcements before
its own fence tell a new owner when the last order of another one can have been given;
announcements after its fence are void, and their writers see the fence when they read
the log back. Times are those at which this node read the announcements: these are
never too early, and need no clock that two nodes share. Each engine counts by itself,
so that those without a recent order of another owner need not wait.
"""

from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

from ..ids import UpstreamId

# An announced order is given within this time or announced again.
PERMIT_S = 0.5
# An order reaches its engine within this time, unless a link is harmed.
DELIVERY_S = 0.25
# Upstreams that are gone are forgotten after this time, which no lease reaches.
FORGET_S = 120.0


class OrderHistory:
    """Hold the newest tenure, and when orders of it and of others were announced.

    Both are seconds by upstream.
    """

    def __init__(self) -> None:
        self.tenure = ""
        # Seconds at which the record that is applied next was read.
        self.now_s = 0.0
        self._own_s: dict[UpstreamId, float] = {}
        self._others_s: dict[UpstreamId, float] = {}

    def take_over(self, record: OwnerFence) -> None:
        """Let a new tenure begin; orders of earlier ones are void from now on."""
        if record.tenure == self.tenure:
            return
        self.tenure = record.tenure
        # The times of one engine only grow.
        self._others_s = {
            upstream: at
            for upstream, at in (self._others_s | self._own_s).items()
            if at > self.now_s - FORGET_S
        }
        self._own_s = {}

    def intend(self, record: OrderIntent) -> None:
        """Note an order, unless a newer tenure has begun."""
        if record.tenure == self.tenure:
            self._own_s[UpstreamId(record.upstream)] = self.now_s

    def allowed_from_s(
        self, tenure: str, upstream: UpstreamId, lease_s: float
    ) -> float | None:
        """Return the time from which a tenure may give orders to an upstream.

        None means that the tenure is not the newest one and may never order.
        """
        if tenure != self.tenure:
            return None
        last_s = self._others_s.get(upstream, float("-inf"))
        return last_s + lease_s + PERMIT_S + DELIVERY_S
