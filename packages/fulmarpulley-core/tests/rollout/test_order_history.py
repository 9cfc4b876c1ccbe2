import unittest

from fulmarpulley_core.rollout.order_history import (
    CLOCK_SKEW_S,
    PERMIT_S,
    OrderHistory,
)
from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

LEASE_S = 3.0
PAUSE_MS = int((LEASE_S + PERMIT_S + CLOCK_SKEW_S) * 1000)


def fence(tenure: str) -> OwnerFence:
    return OwnerFence(node_id="n", tenure=tenure)


def intent(tenure: str, at_ms: int) -> OrderIntent:
    return OrderIntent(tenure=tenure, at_ms=at_ms, upstream="u")


class OrderHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = OrderHistory()

    def test_allowed_from_after_a_recent_foreign_order(self) -> None:
        # Guards against two holders that order one engine within the lease time.
        self.history.take_over(fence("old"))
        self.history.intend(intent("old", 10_000))
        self.history.take_over(fence("new"))
        self.assertEqual(
            self.history.allowed_from_ms("new", LEASE_S), 10_000 + PAUSE_MS
        )

    def test_allowed_from_without_foreign_orders_is_long_past(self) -> None:
        # Guards against a fixed pause after each takeover, which cost a step 4.5 s.
        self.history.take_over(fence("old"))
        self.history.take_over(fence("new"))
        self.history.intend(intent("new", 50_000))
        self.assertEqual(self.history.allowed_from_ms("new", LEASE_S), PAUSE_MS)

    def test_allowed_from_for_a_former_tenure_is_never(self) -> None:
        # Guards against a paused owner that orders after its successor's fence.
        self.history.take_over(fence("old"))
        self.history.take_over(fence("new"))
        self.assertIsNone(self.history.allowed_from_ms("old", LEASE_S))

    def test_intend_after_a_newer_fence_is_void(self) -> None:
        # A late append of the former owner must not make its successor wait.
        self.history.take_over(fence("old"))
        self.history.take_over(fence("new"))
        self.history.intend(intent("old", 90_000))
        self.assertEqual(self.history.allowed_from_ms("new", LEASE_S), PAUSE_MS)
