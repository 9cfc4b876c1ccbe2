"""Append the results of items to their partition until they are listed."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

import msgspec
from result import Err, Ok

from fulmarpulley_core.ids import Partition, StepId
from fulmarpulley_schema.generated.steps import ItemResult, ItemResults, ItemsGenerated

from ..observe.events import log_event
from .interfaces import StoreFailure
from .item_runs import Progress, ResultEntry
from .partitions import Partitions
from .texts import encode_events

# Results that end within this time are written together.
LINGER_S = 0.01
RETRY_S = 0.1
# A store that takes writes only, or reads only, is written to once in this time.
SYNC_TIMEOUT_S = 2.0
# Keeps one append below the log's limit for a call, whatever the items' sizes.
BATCH_SHARE = 0.5
# Shorter texts stand in the record itself: a reference would take as many bytes.
INLINE_BYTES = 64

Batch = list[ResultEntry]
Write = Callable[[], Awaitable[StoreFailure | None]]


class Outbox:
    """Write results in the order in which items end.

    An append without an answer is repeated: the fold takes the first result of an item.
    """

    def __init__(self, partitions: Partitions, partition: Partition) -> None:
        self.partitions = partitions
        self.partition = partition
        self.call_bytes = int(partitions.settings.log.call_bytes * BATCH_SHARE)
        # In the order in which their items ended.
        self._waiting: dict[ResultEntry, None] = {}
        self._arrived = asyncio.Event()
        self._written = asyncio.Event()
        self._written.set()
        self._lost_at: float | None = None

    def put(self, entry: ResultEntry) -> None:
        """Queue a result; one that waits already is written as it is by then."""
        self._waiting.setdefault(entry)
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

    async def save(self, unsaved: list[Progress]) -> list[Progress]:
        """Save unfinished items once, and return those that the log holds.

        The next owner can do without the others.
        """
        saved: list[Progress] = []
        for group in _groups(unsaved, self.call_bytes):
            if await self._save(group):
                saved += group
        return saved

    async def _save(self, group: list[Progress]) -> bool:
        texts = [encode_events(progress.events) for progress in group]
        refs = await self.partitions.texts.append(self.partition, texts)
        if isinstance(refs, Err):
            return False
        pairs = zip(group, refs.ok_value, strict=True)
        records = [progress.record(ref) for progress, ref in pairs]
        done = await self.partitions.append(self.partition, records)
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

    def _take_batch(self) -> Batch:
        size = 0
        batch: Batch = []
        while self._waiting and size < self.call_bytes:
            batch.append(next(iter(self._waiting)))
            del self._waiting[batch[-1]]
            size += len(batch[-1].result.text)
        return batch

    async def _write_until_done(self, batch: Batch) -> None:
        await self._repeat(batch, lambda: self._write_texts(batch))
        await self._repeat(batch, lambda: self._append(_records(batch)))

    async def _repeat(self, batch: Batch, write: Write) -> None:
        while True:
            if self._is_written(await write(), batch):
                return
            await asyncio.sleep(RETRY_S)
            # An append that is sent while the store is away waits for its answer
            # beyond the end of the outage; a read is answered soon after it.
            await self.partitions.followers[self.partition].sync(SYNC_TIMEOUT_S)

    async def _write_texts(self, batch: Batch) -> StoreFailure | None:
        """Append the longer texts and leave references in their place."""
        entries = [entry for entry in batch if _is_long(entry.result)]
        if not entries:
            return None
        texts = [entry.result.text for entry in entries]
        done = await self.partitions.texts.append(self.partition, texts)
        if isinstance(done, Err):
            return done.err_value
        for entry, ref in zip(entries, done.ok_value, strict=True):
            entry.result = msgspec.structs.replace(entry.result, text=b"", text_ref=ref)
        return None

    async def _append(
        self, records: Sequence[ItemResults | ItemsGenerated]
    ) -> StoreFailure | None:
        done = await self.partitions.append(self.partition, records)
        return done.err_value if isinstance(done, Err) else None

    def _is_written(self, failure: StoreFailure | None, batch: Batch) -> bool:
        now = time.monotonic()
        if failure is not None and self._lost_at is None:
            self._lost_at = now
            log_event(
                "results_delayed",
                partition=self.partition,
                items=len(batch),
                reason=failure.value,
            )
        elif failure is None and self._lost_at is not None:
            log_event(
                "results_resumed",
                partition=self.partition,
                seconds=now - self._lost_at,
            )
            self._lost_at = None
        return failure is None


def _groups(unsaved: list[Progress], most_bytes: int) -> Iterator[list[Progress]]:
    """Group items so that one append takes the events of each group."""
    group: list[Progress] = []
    size = 0
    for progress in unsaved:
        length = sum(len(event) for event in progress.events)
        if group and size + length > most_bytes:
            yield group
            group, size = [], 0
        group.append(progress)
        size += length
    if group:
        yield group


def _is_long(result: ItemResult) -> bool:
    return result.text_ref is None and len(result.text) > INLINE_BYTES


def _records(batch: Batch) -> list[ItemResults | ItemsGenerated]:
    records: dict[tuple[StepId, bool], ItemResults | ItemsGenerated] = {}
    for entry in batch:
        key = (entry.step_id, entry.listed)
        if key not in records:
            kind = ItemResults if entry.listed else ItemsGenerated
            records[key] = kind(step_id=entry.step_id, results=[])
        records[key].results.append(entry.result)
    return list(records.values())
