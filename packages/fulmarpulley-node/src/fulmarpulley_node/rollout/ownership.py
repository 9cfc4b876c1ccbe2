"""Track which partitions this node owns, and obtain a fence for each tenure."""

import asyncio
import time
import uuid
from collections.abc import Callable, Set

import msgspec
from aiomisc import Service
from result import Err, Ok

from fulmarpulley_core.ids import FenceNumber, Partition, UpstreamId
from fulmarpulley_core.rollout.order_history import INTENT_VALIDITY_S
from fulmarpulley_core.rollout.owner_eligibility import Capacity
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

from ..background_tasks import BackgroundTasks, notify_all
from ..observe.events import log_event
from .clock import elapsed_s
from .follower import STEPS_TOPIC
from .interfaces import DurableLog, Membership
from .partitions import Partitions

HOMES_GROUP = "homes"
# Heartbeats per member TTL, so that the loss of a single one has no effect.
HEARTBEATS_PER_TTL = 4
# A TTL of a few hundred milliseconds would move partitions at every process pause.
TTL_FACTOR = 1.5
SYNC_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1
# An owner that cannot reach the store keeps running items for this time: in an outage
# for all nodes, another owner could not list their results either.
CONTACT_LOSS_GRACE_S = 15.0


class Tenure(msgspec.Struct, eq=False):
    """Hold one ownership of a partition; orders need its fence and a permit.

    `superseded_at` is the monotonic time at which a later fence was read.
    """

    partition: Partition
    tenure_id: str
    fence: FenceNumber | None = None
    superseded_at: float | None = None
    ended: bool = False


def instance_capacity(settings: RolloutSettings) -> Capacity | None:
    """Return the capacity of this node's instance; None if it is not known."""
    instance = settings.instance
    millicores = round(instance.cores * instance.cpu_share * 1000)
    memory_mb = int(instance.memory_mb)
    return Capacity(millicores, memory_mb) if millicores and memory_mb else None


class Ownership(Service):
    """Maintain the membership in the group that assigns the partitions."""

    def __init__(
        self, settings: RolloutSettings, log: DurableLog, partitions: Partitions
    ) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.partitions = partitions
        self.tasks = BackgroundTasks()
        self.ttl_s = settings.log.member_ttl_ms / 1000 * TTL_FACTOR
        self.capacity = instance_capacity(settings)
        self.member = f"{settings.node_id}/{uuid.uuid4().hex[:8]}"
        if self.capacity is not None:
            self.member += f"/{self.capacity}"
        # Set while this node takes part in the group.
        self.admitted = asyncio.Event()
        if self.capacity is None or self.capacity.ample:
            self.admitted.set()
        # Held during a call that changes the membership, so that a join that is on its
        # way does not undo a leave.
        self.membership_call = asyncio.Lock()
        self.generation = 0
        self.tenures: dict[Partition, Tenure] = {}
        self.last_contact_at = float("-inf")
        self.leaving = False
        self.on_gained: list[Callable[[Tenure], None]] = []
        self.on_lost: list[Callable[[Tenure], None]] = []

    async def start(self) -> None:
        """Start the heartbeat, which joins the group once the node is admitted."""
        self.tasks.supervise(self._heartbeat)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the heartbeat."""
        await self.tasks.stop()

    async def leave(self) -> None:
        """Release all partitions and leave the group."""
        self.leaving = True
        self._update_tenures(frozenset())
        await self.log.leave(HOMES_GROUP, self.member)

    def lacks_contact(self) -> bool:
        """Return whether the group may have given the partitions to other nodes."""
        return time.monotonic() > self.last_contact_at + self.ttl_s

    def end_tenure(self, tenure: Tenure) -> None:
        """End a tenure as if the group had; the group may begin another one later."""
        if self.tenures.get(tenure.partition) is tenure:
            self._update_tenures(self.tenures.keys() - {tenure.partition})

    async def withdraw(self) -> None:
        """Release all partitions and leave the group until the node is admitted."""
        self.admitted.clear()
        self._update_tenures(frozenset())
        async with self.membership_call:
            await self.log.leave(HOMES_GROUP, self.member)

    async def wait_for_fence(self, tenure: Tenure) -> FenceNumber | None:
        """Wait for the fence of a tenure; return None if the tenure ends first."""
        while not tenure.ended:
            if tenure.fence is not None:
                return tenure.fence
            await asyncio.sleep(RETRY_DELAY_S)
        return None

    async def order_wait_s(self, tenure: Tenure, upstream: UpstreamId) -> float | None:
        """Return the seconds until orders are permitted; None if they never will be."""
        follower = self.partitions.followers[tenure.partition]
        lease_s = self.settings.bounds.lease_ms / 1000
        while not tenure.ended:
            if not await follower.sync(SYNC_TIMEOUT_S):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            orders = follower.fold.orders
            allowed_from_s = orders.allowed_from_s(tenure.tenure_id, upstream, lease_s)
            if allowed_from_s is not None:
                return max(0.0, allowed_from_s - elapsed_s())
            log_event("order_void", partition=tenure.partition, fence=tenure.fence)
            if tenure.superseded_at is None:
                tenure.superseded_at = time.monotonic()
            return None
        return None

    async def permit_order(
        self, tenure: Tenure, upstream: UpstreamId, fence: FenceNumber
    ) -> bool:
        """Append the intent of an order and return whether the order may be sent now.

        :param fence: fence that the order carries; it is void once it has been renewed
        """
        return await self.permit_until_s(tenure, upstream, fence) is not None

    async def permit_until_s(
        self, tenure: Tenure, upstream: UpstreamId, fence: FenceNumber
    ) -> float | None:
        """Append the intent of an order and return the time until which it is valid.

        None means that the order may not be sent; see `permit_order`.
        """
        while (
            tenure.fence == fence and await self.order_wait_s(tenure, upstream) == 0.0
        ):
            valid_until_s = await self._append_intent(tenure, upstream)
            if valid_until_s is not None:
                still_owned = tenure.fence == fence and not tenure.ended
                return valid_until_s if still_owned else None
        return None

    async def _append_intent(
        self, tenure: Tenure, upstream: UpstreamId
    ) -> float | None:
        """Return the time until which the intent is valid; None if it is not."""
        valid_until_s = elapsed_s() + INTENT_VALIDITY_S
        record = OrderIntent(tenure=tenure.tenure_id, upstream=upstream)
        result = await self.partitions.append(tenure.partition, [record])
        follower = self.partitions.followers[tenure.partition]
        if isinstance(result, Err) or not await follower.sync(SYNC_TIMEOUT_S):
            return None
        is_newest = follower.fold.orders.tenure == tenure.tenure_id
        return valid_until_s if is_newest and elapsed_s() < valid_until_s else None

    async def _heartbeat(self) -> None:
        while not self.leaving:
            await self.admitted.wait()
            async with self.membership_call:
                started_at = time.monotonic()
                result = await self.log.join(
                    HOMES_GROUP, self.member, STEPS_TOPIC, self.ttl_s, self.generation
                )
            if self.leaving:
                return
            if not self.admitted.is_set():
                continue
            if isinstance(result, Ok):
                self._apply_membership(result.ok_value, started_at)
            elif (
                started_at > self.last_contact_at + CONTACT_LOSS_GRACE_S
                and self.tenures
            ):
                log_event("ownership_lapsed", reason=result.err_value.value)
                self._update_tenures(frozenset())
            await asyncio.sleep(self.ttl_s / HEARTBEATS_PER_TTL)

    def _apply_membership(self, membership: Membership, started_at: float) -> None:
        self.last_contact_at = started_at
        self.generation = membership.generation
        self._update_tenures(membership.partitions)
        for tenure in self.tenures.values():
            if tenure.superseded_at is not None and tenure.superseded_at < started_at:
                self._renew_fence(tenure)

    def _renew_fence(self, tenure: Tenure) -> None:
        """Take a new fence for a partition that the group still assigns to this node.

        An append of a former owner can take effect seconds late, after the fence of its
        successor, which without a new fence could never issue orders again.
        """
        log_event("fence_renewed", partition=tenure.partition, before=tenure.fence)
        tenure.tenure_id = uuid.uuid4().hex[:12]
        tenure.fence = tenure.superseded_at = None
        self.tasks.spawn(self._take_fence(tenure))

    def _update_tenures(self, owned: Set[int]) -> None:
        for partition, tenure in list(self.tenures.items()):
            if partition not in owned:
                del self.tenures[partition]
                tenure.ended = True
                log_event("partition_given_up", partition=partition)
                notify_all(self.on_lost, tenure)
        for number in sorted(owned):
            partition = Partition(number)
            if partition not in self.tenures:
                tenure = Tenure(partition, uuid.uuid4().hex[:12])
                self.tenures[partition] = tenure
                log_event(
                    "partition_owned", partition=number, generation=self.generation
                )
                notify_all(self.on_gained, tenure)
                self.tasks.spawn(self._take_fence(tenure))

    async def _take_fence(self, tenure: Tenure) -> None:
        record = OwnerFence(node_id=self.settings.node_id, tenure=tenure.tenure_id)
        while not tenure.ended and tenure.tenure_id == record.tenure:
            result = await self.partitions.append(tenure.partition, [record])
            if isinstance(result, Err):
                await asyncio.sleep(self.ttl_s / HEARTBEATS_PER_TTL)
                continue
            # Fences start at one, since zero means that there is none.
            tenure.fence = FenceNumber(result.ok_value + 1)
            log_event("fence_taken", partition=tenure.partition, fence=tenure.fence)
            return
