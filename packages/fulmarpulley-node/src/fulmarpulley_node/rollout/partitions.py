"""Read all partitions of step records and append to them."""

import asyncio
import time
from collections.abc import Iterable, Iterator

from aiomisc import Service
from result import Err, Ok, Result

from fulmarpulley_core.ids import Partition, ServiceName, StepId
from fulmarpulley_core.placement import text_hash
from fulmarpulley_core.rollout.step_fold import Step
from fulmarpulley_core.rollout.step_records import StepRecord, encode, split
from fulmarpulley_core.rollout.topology import RouteTable
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .follower import STEPS_TOPIC, PartitionFollower
from .interfaces import DurableLog, StoreFailure
from .step_placements import StepPlacements
from .text_store import TextStore

SEARCH_TIMEOUT_S = 0.3


class Partitions(Service):
    """Own the followers of all partitions of step records."""

    def __init__(self, settings: RolloutSettings, log: DurableLog) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.texts = TextStore(settings, log)
        self.placements = StepPlacements(settings, log)
        self.tasks = BackgroundTasks()
        self.followers = [
            PartitionFollower(settings, log, Partition(number), self.tasks)
            for number in range(settings.log.partitions)
        ]

    async def start(self) -> None:
        """Do nothing: each partition is read on demand."""

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all reads."""
        await self.tasks.stop()
        await self.placements.tasks.stop()

    def follower_for_service(self, service: ServiceName) -> PartitionFollower:
        """Return the follower of the partition that holds a service's steps."""
        return self.followers[partition_of(service, len(self.followers))]

    def engine_services(
        self, routes: RouteTable | None, partition: Partition
    ) -> Iterator[ServiceName]:
        """Yield the engine services whose orders the owner of a partition issues."""
        for service in routes.topology.services.values() if routes else ():
            in_partition = (
                self.follower_for_service(service.name).partition == partition
            )
            if service.engine is not None and in_partition:
                yield service.name

    async def append(
        self, partition: Partition, records: Iterable[StepRecord]
    ) -> Result[int, StoreFailure]:
        """Append records in one call and keep the partition's follower active."""
        result = await self.append_without_following(partition, records)
        if isinstance(result, Ok):
            self.followers[partition].keep_active()
        return result

    async def append_without_following(
        self, partition: Partition, records: Iterable[StepRecord]
    ) -> Result[int, StoreFailure]:
        """Append records in one call without activating the follower."""
        limit = self.settings.log.record_bytes
        data = [part for record in records for part in split(encode(record), limit)]
        return await self.log.append(STEPS_TOPIC, partition, data)

    async def find(
        self, step_id: StepId, preferred: list[PartitionFollower], timeout_s: float
    ) -> Result[tuple[PartitionFollower, Step] | None, StoreFailure]:
        """Find a step by its id; None means that no partition holds it.

        :param preferred: partitions that are searched first
        """
        known = self.find_loaded(step_id)
        if known is not None:
            return Ok(known)
        others = [f for f in self.followers if f not in preferred]
        deadline = time.monotonic() + timeout_s
        for followers in (preferred, others):
            remaining_s = deadline - time.monotonic()
            synced = await asyncio.gather(*(f.sync(remaining_s) for f in followers))
            known = self.find_loaded(step_id)
            if known is not None:
                return Ok(known)
            if not all(synced):
                return Err(StoreFailure.UNREACHABLE)
        return Ok(None)

    async def locate(
        self, step_id: StepId, preferred: Partition
    ) -> tuple[Partition, bool]:
        """Return the partition of a step, and whether the step was accepted before.

        The call tries until it is cancelled.

        :param preferred: partition of the step if it is new
        """
        partition, found = await asyncio.gather(
            self.placements.place(step_id, preferred), self._search(step_id)
        )
        return (partition, False) if found is None else (found.partition, True)

    async def _search(self, step_id: StepId) -> PartitionFollower | None:
        """Look for a step that an older build accepted, which places no steps.

        Partitions that cannot be read soon are left out: the log may be away in part,
        and only steps accepted within an upgrade are found by this search alone.
        """
        read = await asyncio.gather(
            *(follower.read_to_end(SEARCH_TIMEOUT_S) for follower in self.followers)
        )
        known = self.find_loaded(step_id)
        if known is None and not all(read):
            unread = [str(number) for number, done in enumerate(read) if not done]
            log_event("partitions_not_searched", partitions=",".join(unread))
        return None if known is None else known[0]

    def find_loaded(self, step_id: StepId) -> tuple[PartitionFollower, Step] | None:
        """Find a step among the records read so far."""
        for follower in self.followers:
            step = follower.fold.steps.get(step_id)
            if step is not None:
                return follower, step
        return None


def partition_of(service: ServiceName, partitions: int) -> Partition:
    """Return the partition of a service, the same on all nodes."""
    return Partition(text_hash(service) % partitions)
