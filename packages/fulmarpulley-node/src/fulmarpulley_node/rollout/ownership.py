"""Learn which partitions this node owns, and number each ownership."""

import asyncio
import time
import uuid
from collections.abc import Callable

import msgspec
from aiomisc import Service
from result import Err, Ok

from fulmarpulley_core.ids import FenceNumber, Partition, UpstreamId
from fulmarpulley_core.rollout.order_history import INTENT_VALIDITY_S
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

from ..observe.events import log_event
from ..tasks import TaskGroup
from .clock import elapsed_s
from .follower import STEPS_TOPIC
from .interfaces import DurableLog, Membership
from .partitions import Partitions

GROUP = "homes"
# Heartbeats within the lifetime of a member, so that single lost ones do not matter.
HEARTBEATS_PER_TTL = 4
# A lifetime of a few hundred ms would move partitions at every pause of a process.
TTL_FACTOR = 1.5
SYNC_TIMEOUT_S = 0.4
RETRY_S = 0.1
# Without contact to the store an owner still runs items for this time, since another
# owner could not list their results either while the store is down for all.
RUN_WITHOUT_CONTACT_S = 15.0


class Tenure(msgspec.Struct, eq=False):
    """Hold one ownership of a partition; orders need its fence and a permit.

    It is superseded since the monotonic time at which a later fence was read.
    """

    partition: Partition
    name: str
    fence: FenceNumber | None = None
    superseded_at: float | None = None
    ended: bool = False


class Ownership(Service):
    """Stay a member of the group that shares out the partitions."""

    def __init__(
        self, settings: RolloutSettings, log: DurableLog, partitions: Partitions
    ) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.partitions = partitions
        self.tasks = TaskGroup()
        self.ttl_s = settings.log.member_ttl_ms / 1000 * TTL_FACTOR
        self.member = f"{settings.node_id}/{uuid.uuid4().hex[:8]}"
        self.generation = 0
        self.tenures: dict[Partition, Tenure] = {}
        self.contact = float("-inf")
        self.leaving = False
        self.gained: Callable[[Tenure], None] = lambda tenure: None
        self.lost: Callable[[Tenure], None] = lambda tenure: None

    async def start(self) -> None:
        """Join the group."""
        self.tasks.spawn(self._heartbeat())

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the heartbeat."""
        await self.tasks.stop()

    async def leave(self) -> None:
        """Give all partitions to the other members."""
        self.leaving = True
        self._update(frozenset())
        await self.log.leave(GROUP, self.member)

    async def fence(self, tenure: Tenure) -> FenceNumber | None:
        """Return the fencing number of a tenure once it has one."""
        while not tenure.ended:
            if tenure.fence is not None:
                return tenure.fence
            await asyncio.sleep(RETRY_S)
        return None

    async def turn_in_s(self, tenure: Tenure, upstream: UpstreamId) -> float | None:
        """Return after how long no order of another owner is recent; None if never."""
        follower = self.partitions.followers[tenure.partition]
        lease_s = self.settings.bounds.lease_ms / 1000
        while not tenure.ended:
            if not await follower.sync(SYNC_TIMEOUT_S):
                await asyncio.sleep(RETRY_S)
                continue
            orders = follower.fold.orders
            allowed_s = orders.allowed_from_s(tenure.name, upstream, lease_s)
            if allowed_s is not None:
                return max(0.0, allowed_s - elapsed_s())
            log_event("order_void", partition=tenure.partition, fence=tenure.fence)
            if tenure.superseded_at is None:
                tenure.superseded_at = time.monotonic()
            return None
        return None

    async def permit_order(
        self, tenure: Tenure, upstream: UpstreamId, fence: FenceNumber
    ) -> bool:
        """Announce an order that may be given at once; False if it may not.

        :param fence: number that the order carries; it is void once it was renewed
        """
        while tenure.fence == fence and await self.turn_in_s(tenure, upstream) == 0.0:
            if await self._announce(tenure, upstream):
                return tenure.fence == fence
        return False

    async def _announce(self, tenure: Tenure, upstream: UpstreamId) -> bool:
        began = elapsed_s()
        record = OrderIntent(tenure=tenure.name, upstream=upstream)
        done = await self.partitions.append(tenure.partition, [record])
        follower = self.partitions.followers[tenure.partition]
        if isinstance(done, Err) or not await follower.sync(SYNC_TIMEOUT_S):
            return False
        newest = follower.fold.orders.tenure == tenure.name
        return newest and elapsed_s() < began + INTENT_VALIDITY_S

    async def _heartbeat(self) -> None:
        while not self.leaving:
            began = time.monotonic()
            done = await self.log.join(
                GROUP, self.member, STEPS_TOPIC, self.ttl_s, self.generation
            )
            if self.leaving:
                return
            if isinstance(done, Ok):
                self._joined(done.ok_value, began)
            elif began > self.contact + RUN_WITHOUT_CONTACT_S and self.tenures:
                log_event("ownership_lapsed", reason=done.err_value.value)
                self._update(frozenset())
            await asyncio.sleep(self.ttl_s / HEARTBEATS_PER_TTL)

    def _joined(self, membership: Membership, began: float) -> None:
        self.contact = began
        self.generation = membership.generation
        self._update(membership.partitions)
        for tenure in self.tenures.values():
            if tenure.superseded_at is not None and tenure.superseded_at < began:
                self._renew(tenure)

    def _renew(self, tenure: Tenure) -> None:
        """Take a new fence for a partition that the group still counts as owned.

        An append of a former owner can take effect seconds later, after the fence of
        its successor, and would end the orders to its engines for good.
        """
        log_event("fence_renewed", partition=tenure.partition, before=tenure.fence)
        tenure.name = uuid.uuid4().hex[:12]
        tenure.fence = tenure.superseded_at = None
        self.tasks.spawn(self._number(tenure))

    def _update(self, owned: frozenset[int]) -> None:
        for partition, tenure in list(self.tenures.items()):
            if partition not in owned:
                del self.tenures[partition]
                tenure.ended = True
                log_event("partition_given_up", partition=partition)
                self.lost(tenure)
        for number in sorted(owned):
            partition = Partition(number)
            if partition not in self.tenures:
                tenure = Tenure(partition, uuid.uuid4().hex[:12])
                self.tenures[partition] = tenure
                log_event(
                    "partition_owned", partition=number, generation=self.generation
                )
                self.gained(tenure)
                self.tasks.spawn(self._number(tenure))

    async def _number(self, tenure: Tenure) -> None:
        record = OwnerFence(node_id=self.settings.node_id, tenure=tenure.name)
        while not tenure.ended and tenure.name == record.tenure:
            done = await self.partitions.append(tenure.partition, [record])
            if isinstance(done, Err):
                await asyncio.sleep(self.ttl_s / HEARTBEATS_PER_TTL)
                continue
            # Fencing numbers start at one: zero would mean that there is none.
            tenure.fence = FenceNumber(done.ok_value + 1)
            log_event("fence_taken", partition=tenure.partition, fence=tenure.fence)
            return
