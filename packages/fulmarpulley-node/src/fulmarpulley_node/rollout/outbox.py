"""Append the results of items to their partition until they are listed."""

import asyncio
import time

from result import Err, Ok

from fulmarpulley_core.ids import Partition, StepId
from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResult,
    ItemResults,
)

from ..observe.events import log_event
from .partitions import Partitions

# Results that end within this time are written together.
LINGER_S = 0.01
RETRY_S = 0.1
# Keeps one append below the log's limit for a call, whatever the items' sizes.
BATCH_SHARE = 0.5


class Outbox:
    """Write results in the order in which items end.

    An append without an answer is repeated: the fold takes the first result of an item.
    """

    def __init__(self, partitions: Partitions, partition: Partition) -> None:
        self.partitions = partitions
        self.partition = partition
        self.call_bytes = int(partitions.settings.log.call_bytes * BATCH_SHARE)
        self._waiting: list[tuple[StepId, ItemResult]] = []
        self._arrived = asyncio.Event()
        self._written = asyncio.Event()
        self._written.set()
        self._lost_at: float | None = None

    def put(self, step_id: StepId, result: ItemResult) -> None:
        """Queue a result."""
        self._waiting.append((step_id, result))
        self._arrived.set()
        self._written.clear()

    async def run(self) -> None:
        """Write results until cancelled."""
        while True:
            await self._arrived.wait()
            await asyncio.sleep(LINGER_S)
            batch = self._take_batch()
            await self._write_until_done(batch)
            if not self._waiting:
                self._arrived.clear()
                self._written.set()

    async def save(self, progress: list[ItemProgress]) -> bool:
        """Save unfinished items once, since the next owner can do without."""
        done = await self.partitions.append(self.partition, progress)
        return isinstance(done, Ok)

    async def flush(self, timeout_s: float) -> None:
        """Write what is queued, also after another node took the partition over."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            log_event(
                "results_dropped",
                partition=self.partition,
                items=len(self._waiting),
            )

    def _take_batch(self) -> list[ItemResults]:
        size = 0
        steps: dict[StepId, list[ItemResult]] = {}
        while self._waiting and size < self.call_bytes:
            step_id, result = self._waiting.pop(0)
            steps.setdefault(step_id, []).append(result)
            size += len(result.text)
        return [ItemResults(step_id=s, results=r) for s, r in steps.items()]

    async def _write_until_done(self, batch: list[ItemResults]) -> None:
        while True:
            if await self._write(batch):
                return
            await asyncio.sleep(RETRY_S)

    async def _write(self, batch: list[ItemResults]) -> bool:
        done = await self.partitions.append(self.partition, batch)
        now = time.monotonic()
        if isinstance(done, Err):
            if self._lost_at is None:
                self._lost_at = now
                log_event(
                    "results_delayed",
                    partition=self.partition,
                    items=sum(len(record.results) for record in batch),
                    reason=done.err_value.value,
                )
            return False
        if self._lost_at is not None:
            log_event(
                "results_resumed",
                partition=self.partition,
                seconds=now - self._lost_at,
            )
            self._lost_at = None
        return True
