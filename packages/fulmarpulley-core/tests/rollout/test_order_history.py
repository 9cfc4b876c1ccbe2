import math
import unittest

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.rollout.order_history import (
    INTENT_RETENTION_S,
    INTENT_VALIDITY_S,
    ORDER_DELIVERY_S,
    OrderHistory,
)
from fulmarpulley_schema.generated.steps import (
    OrderIntent,
    OwnerFence,
    RecordAge,
    RecordAges,
)

LEASE_S = 3.0
TAKEOVER_WAIT_S = LEASE_S + INTENT_VALIDITY_S + ORDER_DELIVERY_S


class OrderHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = OrderHistory()

    def fence(self, tenure: str) -> None:
        self.history.apply_fence(OwnerFence(node_id="n", tenure=tenure))

    def intent(self, tenure: str, read_at_s: float, upstream: str = "u") -> None:
        self.history.record_read_at_s = read_at_s
        self.history.offset += 1
        self.history.apply_intent(OrderIntent(tenure=tenure, upstream=upstream))

    def ages(self, read_at_s: float, *ages: tuple[int, int]) -> None:
        self.history.record_read_at_s = read_at_s
        found = [RecordAge(before=before, age_ms=age_ms) for before, age_ms in ages]
        self.history.apply_ages(RecordAges(ages=found))

    def allowed(self, tenure: str, upstream: str = "u") -> float | None:
        return self.history.allowed_from_s(tenure, UpstreamId(upstream), LEASE_S)

    def test_allowed_from_after_a_recent_foreign_order(self) -> None:
        # Guards against orders of two owners to one engine within the lease time.
        self.fence("old")
        self.intent("old", 10.0)
        self.fence("new")
        self.assertEqual(self.allowed("new"), 10.0 + TAKEOVER_WAIT_S)

    def test_allowed_from_after_orders_of_several_owners(self) -> None:
        # Guards against an owner without orders that hides those of its predecessor.
        self.fence("first")
        self.intent("first", 10.0)
        self.fence("second")
        self.fence("third")
        self.assertEqual(self.allowed("third"), 10.0 + TAKEOVER_WAIT_S)

    def test_allowed_from_is_separate_for_each_engine(self) -> None:
        # Guards against a takeover after which no engine gets an order for 4.8 s, so
        # that a step starts too late even under low load.
        self.fence("old")
        self.intent("old", 5.0, "v")
        self.intent("old", 10.0, "u")
        self.fence("new")
        self.assertEqual(self.allowed("new", "v"), 5.0 + TAKEOVER_WAIT_S)
        self.assertEqual(self.allowed("new", "w"), -math.inf)
        self.assertEqual(self.allowed("new", "u"), 10.0 + TAKEOVER_WAIT_S)

    def test_apply_fence_drops_engines_without_recent_orders(self) -> None:
        # Guards against a history that grows with every engine that was replaced.
        self.fence("old")
        for number in range(100):
            self.intent("old", float(number), f"u{number}")
        self.history.record_read_at_s = 99.0 + INTENT_RETENTION_S
        self.fence("new")
        self.assertEqual(self.history.other_intents, {})

    def test_allowed_from_without_foreign_orders_is_in_the_past(self) -> None:
        # Guards against a fixed wait after each takeover, which delays a step by 4.5 s.
        self.fence("old")
        self.fence("new")
        self.intent("new", 50.0)
        self.assertEqual(self.allowed("new"), -math.inf)

    def test_allowed_from_for_a_former_tenure_is_never(self) -> None:
        # Guards against a paused owner that sends orders after its successor's fence.
        self.fence("old")
        self.fence("new")
        self.assertIsNone(self.allowed("old"))

    def test_apply_intent_after_a_newer_fence_is_void(self) -> None:
        # A late append of the previous owner must not make its successor wait.
        self.fence("old")
        self.fence("new")
        self.intent("old", 90.0)
        self.assertEqual(self.allowed("new"), -math.inf)

    def test_allowed_from_counts_intents_whose_fence_has_expired(self) -> None:
        # Guards against a successor that orders within the lease, since it first read
        # the log after the fence of an owner that had held for long.
        self.intent("old", 10.0)
        self.fence("new")
        self.assertEqual(self.allowed("new"), 10.0 + TAKEOVER_WAIT_S)

    def test_apply_fence_repeated_changes_nothing(self) -> None:
        # An append without an answer is repeated; own orders are not foreign ones.
        self.fence("new")
        self.intent("new", 50.0)
        self.fence("new")
        self.assertEqual(self.allowed("new"), -math.inf)

    def test_allowed_from_uses_the_ages_on_the_log(self) -> None:
        # Guards against a new owner that reads a log for the first time and sends no
        # orders for a whole lease: steps of a large deployment waited 3 s longer.
        self.fence("old")
        self.intent("old", 20.0, "v")
        self.intent("old", 20.0, "u")
        self.ages(20.0, (2, 2500), (3, 1000))
        self.fence("new")
        self.assertEqual(self.allowed("new", "v"), 17.5 + TAKEOVER_WAIT_S)
        self.assertEqual(self.allowed("new", "u"), 19.0 + TAKEOVER_WAIT_S)

    def test_apply_ages_ignores_intents_at_later_offsets(self) -> None:
        # Guards against an order that is mistaken for an older one to the same engine.
        self.fence("old")
        self.intent("old", 20.0)
        self.intent("old", 20.0)
        self.ages(20.0, (2, 2500))
        self.fence("new")
        self.assertEqual(self.allowed("new"), 20.0 + TAKEOVER_WAIT_S)

    def test_apply_ages_read_late_makes_no_intent_younger(self) -> None:
        self.fence("old")
        self.intent("old", 10.0)
        self.ages(20.0, (9, 1000))
        self.fence("new")
        self.assertEqual(self.allowed("new"), 10.0 + TAKEOVER_WAIT_S)
