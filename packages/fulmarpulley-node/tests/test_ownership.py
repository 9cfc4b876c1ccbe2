"""Test that orders are only permitted under the current fence."""

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


class FakePartitions:
    """Holds one partition; `on_append` is called during each append."""

    def __init__(self) -> None:
        self.orders = OrderHistory()
        follower = SimpleNamespace(fold=SimpleNamespace(orders=self.orders))
        follower.sync = self.sync
        self.followers = {Partition(0): follower}
        self.on_append: Any = lambda: None

    async def sync(self, timeout_s: float) -> bool:
        return True

    async def append(
        self, partition: Partition, records: list[OrderIntent]
    ) -> Result[int, Any]:
        self.on_append()
        return Ok(1)


class PermitTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.partitions = FakePartitions()
        log: Any = None
        self.ownership = Ownership(settings(), log, self.partitions)  # type: ignore[arg-type]
        self.tenure = Tenure(Partition(0), "first", FenceNumber(5))
        self.apply_fence("first")

    def apply_fence(self, tenure: str) -> None:
        self.partitions.orders.apply_fence(OwnerFence(node_id="n", tenure=tenure))

    def renew(self) -> None:
        """Renews the fence, as after a late fence record of a former owner."""
        self.tenure.tenure_id, self.tenure.fence = "second", FenceNumber(9)
        self.apply_fence("second")

    async def test_order_is_permitted_with_newest_fence(self) -> None:
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertTrue(await permitted)

    async def test_permit_is_refused_for_superseded_fence(self) -> None:
        # Guards against an order that is permitted under the new tenure id but carries
        # the old fence.
        self.renew()
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)

    async def test_permit_is_refused_when_fence_is_renewed_during_append(self) -> None:
        self.partitions.on_append = self.renew
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)

    async def test_permit_is_refused_when_the_tenure_ends_during_append(self) -> None:
        # Guards against orders of an owner that engines have shown to be replaced.
        self.partitions.on_append = lambda: setattr(self.tenure, "ended", True)
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)

    async def test_permit_is_refused_within_lease_of_another_owner(self) -> None:
        # The pool issues the order again when the wait is over.
        record_read_at_s = elapsed_s()
        self.partitions.orders.record_read_at_s = record_read_at_s
        self.partitions.orders.apply_intent(
            OrderIntent(tenure="first", upstream=UPSTREAM)
        )
        self.tenure.tenure_id = "second"
        self.apply_fence("second")
        permitted = self.ownership.permit_order(self.tenure, UPSTREAM, FenceNumber(5))
        self.assertFalse(await permitted)
        order_wait_s = await self.ownership.order_wait_s(self.tenure, UPSTREAM)
        assert order_wait_s is not None
        lease_s = self.ownership.settings.bounds.lease_ms / 1000
        self.assertAlmostEqual(order_wait_s, wait_s(lease_s), delta=1.0)
