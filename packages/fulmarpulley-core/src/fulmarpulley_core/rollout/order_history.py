"""Decide when the owner of a partition may give orders to engines.

An owner announces each order on the log before it gives it. The announcements before
its own fence tell a new owner when the last order of another one can have been given;
announcements after its fence are void, and their writers see the fence when they read
the log back.
"""

from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

# An announced order is given within this time or announced again.
PERMIT_S = 0.5
# Clocks of two instances may differ by this much.
CLOCK_SKEW_S = 0.5


class OrderHistory:
    """Hold the newest tenure and the last order that each tenure announced."""

    def __init__(self) -> None:
        self.tenure = ""
        self._last_ms: dict[str, int] = {}

    def take_over(self, record: OwnerFence) -> None:
        """Let a new tenure begin; orders of earlier ones are void from now on."""
        self.tenure = record.tenure

    def intend(self, record: OrderIntent) -> None:
        """Note an order, unless a newer tenure has begun."""
        if record.tenure == self.tenure:
            self._last_ms[record.tenure] = record.at_ms

    def allowed_from_ms(self, tenure: str, lease_s: float) -> int | None:
        """Return the Unix milliseconds from which a tenure may order.

        None means that the tenure is not the newest one and may never order.
        """
        if tenure != self.tenure:
            return None
        others = [at for name, at in self._last_ms.items() if name != tenure]
        pause_s = lease_s + PERMIT_S + CLOCK_SKEW_S
        return max(others, default=0) + int(pause_s * 1000)
