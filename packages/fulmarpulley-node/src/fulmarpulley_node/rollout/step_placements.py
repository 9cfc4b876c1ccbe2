"""Agree with other nodes on the partition of each step, through the log."""

import asyncio

from result import Err, Ok, Result

from fulmarpulley_core.ids import Partition, StepId
from fulmarpulley_core.placement import text_hash
from fulmarpulley_core.rollout.placement_fold import PlacementFold, decode, encode
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import StepPlaced

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .clock import unix_ms
from .interfaces import DurableLog, StoreFailure

PLACEMENTS_TOPIC = "placements"
# An append without an answer may have taken effect, which a read shows after this time.
ANSWER_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.1


class PlacementReader:
    """Read one partition of placements."""

    def __init__(self, log: DurableLog, number: int, partitions: int) -> None:
        self.log = log
        self.number = number
        self.fold = PlacementFold(partitions)
        self.next_offset = 0

    async def read(self) -> bool:
        """Read a page; return False if the log cannot be read."""
        start = self.next_offset
        result = await self.log.read(PLACEMENTS_TOPIC, self.number, start, 0.0)
        if isinstance(result, Err):
            return False
        page = result.ok_value
        # The records of steps that have ended long ago may have expired.
        self.next_offset = max(self.next_offset, page.start)
        for offset, data in enumerate(page.records, page.start):
            self.apply(offset, data)
        return True

    def apply(self, offset: int, data: bytes) -> None:
        """Apply a record unless it was applied before or earlier ones are missing."""
        if offset != self.next_offset:
            return
        self.next_offset += 1
        record = decode(data)
        if record is None:
            log_event(
                "placement_unreadable", partition=self.number, offset=self.next_offset
            )
        else:
            self.fold.apply(record)


class StepPlacements:
    """Place steps in partitions; the first record of a step decides for all nodes."""

    def __init__(self, settings: RolloutSettings, log: DurableLog) -> None:
        self.settings = settings
        self.log = log
        self.tasks = BackgroundTasks()
        partitions = settings.log.partitions
        self.readers = [
            PlacementReader(log, number, partitions) for number in range(partitions)
        ]

    async def place(self, step_id: StepId, preferred: Partition) -> Partition:
        """Return the partition of a step, which is the preferred one if it is new.

        The call tries until it is cancelled. A record that it leaves behind does no
        harm, since it accepts nothing.
        """
        reader = self.readers[text_hash(step_id) % len(self.readers)]
        retention_ms = int(self.settings.bounds.status_retention_s * 1000)
        reader.fold.expire(unix_ms() - retention_ms)
        record = StepPlaced(step_id=step_id, partition=preferred, placed_ms=unix_ms())
        data = encode(record)
        append: asyncio.Task[Result[int, StoreFailure]] | None = None
        try:
            while True:
                known = reader.fold.find(step_id)
                if known is not None:
                    return known
                if append is None:
                    call = self.log.append(PLACEMENTS_TOPIC, reader.number, [data])
                    append = self.tasks.spawn(call)
                # The records before the own one are read while it is appended.
                _, was_read = await asyncio.gather(
                    asyncio.wait({append}, timeout=ANSWER_TIMEOUT_S), reader.read()
                )
                if append.done():
                    result, append = append.result(), None
                    if isinstance(result, Ok):
                        reader.apply(result.ok_value, data)
                        continue
                    await asyncio.sleep(RETRY_DELAY_S)
                elif not was_read:
                    await asyncio.sleep(RETRY_DELAY_S)
        finally:
            if append is not None:
                append.cancel()
