"""Tell on the log how old the records of a partition are at least."""

import asyncio
from collections import deque

from result import Ok

from fulmarpulley_core.ids import Partition
from fulmarpulley_core.rollout.order_history import wait_s
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import RecordAge, RecordAges

from .clock import elapsed_s
from .directory import Directory
from .partitions import Partitions

# The wait of a new owner is longer than needed by up to this time.
MARK_INTERVAL_S = 0.5
# The log writes the appends to a partition one after the other. When it is slow, marks
# must not take more than this part of its time from the results.
MAX_APPEND_TIME_SHARE = 0.05


class AgeMarkWriter:
    """Mark the partition after one that this node owns.

    A new owner that reads a partition for the first time sees that orders were
    announced, not when. This node appends to the log and knows since when each of its
    own records is there; what lies before them is older. The owner of the partition
    cannot do this, since the marks matter once it is gone.
    """

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        partitions: Partitions,
        owned_partition: Partition,
    ) -> None:
        self.directory = directory
        self.partitions = partitions
        self.partition = Partition((owned_partition + 1) % len(partitions.followers))
        # Marks are of no use once they are older than any wait.
        longest_s = wait_s(settings.bounds.lease_ms / 1000)
        self.acknowledged: deque[tuple[int, float]] = deque(
            maxlen=int(longest_s / MARK_INTERVAL_S) + 1
        )

    async def run(self) -> None:
        """Mark the partition until cancelled."""
        while True:
            started_at = elapsed_s()
            if self._has_orders():
                await self.append_mark()
            await asyncio.sleep(pause_s(elapsed_s() - started_at))

    async def append_mark(self) -> None:
        """Append a mark, and remember when the log held it for certain."""
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
        routes = self.directory.routes
        return any(self.partitions.engine_services(routes, self.partition))


def pause_s(append_s: float) -> float:
    """Return how long to wait after a mark that took some seconds."""
    return max(MARK_INTERVAL_S, append_s / MAX_APPEND_TIME_SHARE)
