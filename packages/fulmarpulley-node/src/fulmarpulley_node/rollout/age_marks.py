"""Append lower bounds on the age of a partition's records to the log."""

import asyncio
from collections import deque

from result import Ok

from fulmarpulley_core.ids import Partition
from fulmarpulley_core.rollout.order_history import wait_s
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import RecordAge, RecordAges

from .clock import elapsed_s
from .directory import Directory
from .duties import usage_partition
from .partitions import Partitions

# A new owner waits up to this much longer than necessary.
MARK_INTERVAL_S = 0.5
# The log handles the appends to a partition one at a time. Marks may use at most this
# share of that time while appends are slow; results need the rest.
MAX_APPEND_TIME_SHARE = 0.05


class AgeMarkWriter:
    """Append age marks to the partition that follows the one this node owns.

    A new owner that reads a partition for the first time sees the intents of orders,
    but not their times. This writer knows when each of its own records was
    acknowledged; all records before it are older. The partition's owner cannot write
    the marks, since they are needed after it has failed.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        partitions: Partitions,
        owned_partition: Partition,
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.partitions = partitions
        self.partition = Partition((owned_partition + 1) % len(partitions.followers))
        # A mark older than the longest wait no longer shortens any wait.
        longest_s = wait_s(settings.bounds.lease_ms / 1000)
        self.acknowledged: deque[tuple[int, float]] = deque(
            maxlen=int(longest_s / MARK_INTERVAL_S) + 1
        )

    async def run(self) -> None:
        """Append marks periodically until cancelled."""
        while True:
            started_at = elapsed_s()
            if self._has_orders():
                await self.append_mark()
            await asyncio.sleep(pause_s(elapsed_s() - started_at))

    async def append_mark(self) -> None:
        """Append a mark and keep the time of its acknowledgement."""
        now = elapsed_s()
        ages = [
            RecordAge(before=offset, age_ms=int((now - acknowledged_at) * 1000))
            for offset, acknowledged_at in self.acknowledged
        ]
        result = await self.partitions.append_without_following(
            self.partition, [RecordAges(ages=ages)]
        )
        if isinstance(result, Ok):
            self.acknowledged.append((result.ok_value, elapsed_s()))

    def _has_orders(self) -> bool:
        if self.settings.duties and self.partition == usage_partition(self.settings):
            return True
        routes = self.directory.routes
        return any(self.partitions.engine_services(routes, self.partition))


def pause_s(append_s: float) -> float:
    """Return the pause after an append that took `append_s` seconds."""
    return max(MARK_INTERVAL_S, append_s / MAX_APPEND_TIME_SHARE)
