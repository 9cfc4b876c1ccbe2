"""Guard against orders by a permission that has run out."""

import unittest
from types import SimpleNamespace
from typing import Any

from result import Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import FenceNumber, Partition, UpstreamId
from fulmarpulley_core.rollout.order_history import OrderHistory, wait_s
from fulmarpulley_node.rollout.clock import elapsed_s
from fulmarpulley_node.rollout.ownership import Ownership, Tenure
from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

UPSTREAM = UpstreamId("u")


class Partitions:
    """Holds a partition; `appending` runs while an announcement is on its way."""

    def __init__(self) -> None:
        self.orders = OrderHistory()
        follower = SimpleNamespace(fold=SimpleNamespace(orders=self.orders))
        follower.sync = self.sync
        self.followers = {Partition(0): follower}
        self.appending: Any = lambda: None

    async def sync(self, timeout_s: float) -> bool:
        return True

    async def append(
        self, partition: Partition, records: list[OrderIntent]
    ) -> Result[int, Any]:
        self.appending()
        return Ok(1)


class PermitTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.partitions = Partitions()
        log: Any = None
        self.ownership = Ownership(settings(), log, self.partitions)  # type: ignore[arg-type]
        self.tenure = Tenure(Partition(0), "first", FenceNumber(5))
        self.apply_fence("first")

    def apply_fence(self, tenure: str) -> None:
        self.partitions.orders.apply_fence(OwnerFence(node_id="n", tenure=tenure))

    def renew(self) -> None:
        """Numbers the tenure anew, as after a late fence of a former owner."""
        self.tenure.name, self.tenure.fence = "second", FenceNumber(9)
        self.apply_fence("second")

    async def test_permit_of_the_newest_fence_is_given(self) -> None:
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertTrue(await permitted)

    async def test_permit_for_a_fence_that_was_renewed_is_refused(self) -> None:
        # Guards against an order that is permitted under a new name and carries the
        # old number.
        self.renew()
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)

    async def test_permit_is_refused_when_the_fence_is_renewed_meanwhile(self) -> None:
        self.partitions.appending = self.renew
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)

    async def test_permit_within_the_lease_of_another_owner_is_refused(self) -> None:
        # The pool gives the order again when its turn comes.
        record_read_at_s = elapsed_s()
        self.partitions.orders.record_read_at_s = record_read_at_s
        self.partitions.orders.apply_intent(
            OrderIntent(tenure="first", upstream=UPSTREAM)
        )
        self.tenure.name = "second"
        self.apply_fence("second")
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)
        turn_in_s = await self.ownership.turn_in_s(self.tenure, UPSTREAM)
        assert turn_in_s is not None
        lease_s = self.ownership.settings.bounds.lease_ms / 1000
        self.assertAlmostEqual(turn_in_s, wait_s(lease_s), delta=1.0)
