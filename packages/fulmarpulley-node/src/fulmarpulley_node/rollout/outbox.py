"""Append item results to their partition, retrying until the log accepts them."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence

import msgspec
from result import Err, Ok

from fulmarpulley_core.ids import Partition, StepId
from fulmarpulley_schema.generated.steps import ItemResult, ItemResults, ItemsGenerated

from ..background_tasks import log_failure
from ..observe.events import log_event
from .interfaces import StoreFailure
from .item_runs import PendingResult, UnsavedProgress
from .partitions import Partitions
from .text_store import encode_events

# Results that arrive within this time are written in one batch.
LINGER_S = 0.01
RETRY_DELAY_S = 0.1
# Longest wait for a read between two tries. A store that answers appends but no reads
# still gets the next try after this time.
SYNC_TIMEOUT_S = 2.0
# A batch ends at this share of the log's call limit. The rest is room for its last
# item, so that no append exceeds the limit whatever the item sizes.
MAX_CALL_SHARE = 0.5
# Texts up to this size are stored in the record, as a reference takes as many bytes.
MAX_INLINE_BYTES = 64

Batch = list[PendingResult]
WriteCall = Callable[[], Awaitable[StoreFailure | None]]


class Outbox:
    """Write results in the order in which their items end.

    An append without a response is repeated, which is safe: the fold keeps only the
    first result of an item.
    """

    def __init__(self, partitions: Partitions, partition: Partition) -> None:
        self.partitions = partitions
        self.partition = partition
        self.call_bytes = int(partitions.settings.log.call_bytes * MAX_CALL_SHARE)
        # An ordered set, in the order in which the items ended.
        self._queued: dict[PendingResult, None] = {}
        self._has_queued = asyncio.Event()
        self._all_written = asyncio.Event()
        self._all_written.set()
        self._failing_since: float | None = None

    def put(self, entry: PendingResult) -> None:
        """Queue a result; one already queued is written with its latest content."""
        self._queued.setdefault(entry)
        self._has_queued.set()
        self._all_written.clear()

    async def run(self) -> None:
        """Write results until cancelled."""
        while True:
            await self._has_queued.wait()
            await asyncio.sleep(LINGER_S)
            await self._write_batch(self._take_batch())
            if not self._queued:
                self._has_queued.clear()
                self._all_written.set()

    async def save(self, unsaved: list[UnsavedProgress]) -> list[UnsavedProgress]:
        """Try to save unfinished items once, and return those that were saved.

        Failed ones are not retried: the next owner can regenerate them.
        """
        saved: list[UnsavedProgress] = []
        for group in _group_by_size(unsaved, self.call_bytes):
            if await self._save_group(group):
                saved += group
        return saved

    async def _save_group(self, group: list[UnsavedProgress]) -> bool:
        texts = [encode_events(progress.events) for progress in group]
        refs = await self.partitions.texts.append(self.partition, texts)
        if isinstance(refs, Err):
            return False
        pairs = zip(group, refs.ok_value, strict=True)
        records = [progress.to_record(ref) for progress, ref in pairs]
        result = await self.partitions.append(self.partition, records)
        return isinstance(result, Ok)

    async def flush(self, timeout_s: float) -> None:
        """Wait until queued results are written, even after losing the partition."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._all_written.wait()
        except TimeoutError:
            log_event(
                "results_dropped",
                partition=self.partition,
                items=len(self._queued),
            )

    def _take_batch(self) -> Batch:
        size = 0
        batch: Batch = []
        while self._queued and size < self.call_bytes:
            batch.append(next(iter(self._queued)))
            del self._queued[batch[-1]]
            size += len(batch[-1].result.text)
        return batch

    async def _write_batch(self, batch: Batch) -> None:
        try:
            await self._write_until_done(batch)
        except Exception as error:
            if len(batch) == 1:
                (entry,) = batch
                log_failure(
                    "result_failed",
                    self._write_until_done,
                    error,
                    step=entry.step_id,
                    item=entry.result.item_id,
                )
                return
            # One result that cannot be encoded must not hold up the others.
            for entry in batch:
                await self._write_batch([entry])

    async def _write_until_done(self, batch: Batch) -> None:
        await self._retry_until_written(batch, lambda: self._write_texts(batch))
        await self._retry_until_written(batch, lambda: self._append(_to_records(batch)))

    async def _retry_until_written(self, batch: Batch, write: WriteCall) -> None:
        while True:
            if self._record_write_result(await write(), batch):
                return
            await asyncio.sleep(RETRY_DELAY_S)
            # An append that is sent during an outage of the store fails only at its
            # time-out. A read is sent again meanwhile and returns soon after the
            # outage, so the next append waits for a read.
            await self.partitions.followers[self.partition].sync(SYNC_TIMEOUT_S)

    async def _write_texts(self, batch: Batch) -> StoreFailure | None:
        """Append texts above the inline limit and replace them by references."""
        entries = [entry for entry in batch if _exceeds_inline_limit(entry.result)]
        if not entries:
            return None
        texts = [entry.result.text for entry in entries]
        result = await self.partitions.texts.append(self.partition, texts)
        if isinstance(result, Err):
            return result.err_value
        for entry, ref in zip(entries, result.ok_value, strict=True):
            entry.result = msgspec.structs.replace(entry.result, text=b"", text_ref=ref)
        return None

    async def _append(
        self, records: Sequence[ItemResults | ItemsGenerated]
    ) -> StoreFailure | None:
        result = await self.partitions.append(self.partition, records)
        return result.err_value if isinstance(result, Err) else None

    def _record_write_result(self, failure: StoreFailure | None, batch: Batch) -> bool:
        now = time.monotonic()
        if failure is not None and self._failing_since is None:
            self._failing_since = now
            log_event(
                "results_delayed",
                partition=self.partition,
                items=len(batch),
                reason=failure.value,
            )
        elif failure is None and self._failing_since is not None:
            log_event(
                "results_resumed",
                partition=self.partition,
                seconds=now - self._failing_since,
            )
            self._failing_since = None
        return failure is None


def _group_by_size(
    unsaved: list[UnsavedProgress], max_bytes: int
) -> Iterator[list[UnsavedProgress]]:
    """Group items so that the events of each group fit into one append."""
    group: list[UnsavedProgress] = []
    size = 0
    for progress in unsaved:
        progress_bytes = sum(len(event) for event in progress.events)
        if group and size + progress_bytes > max_bytes:
            yield group
            group, size = [], 0
        group.append(progress)
        size += progress_bytes
    if group:
        yield group


def _exceeds_inline_limit(result: ItemResult) -> bool:
    return result.text_ref is None and len(result.text) > MAX_INLINE_BYTES


def _to_records(batch: Batch) -> list[ItemResults | ItemsGenerated]:
    records: dict[tuple[StepId, bool], ItemResults | ItemsGenerated] = {}
    for entry in batch:
        key = (entry.step_id, entry.listed)
        if key not in records:
            record_type = ItemResults if entry.listed else ItemsGenerated
            records[key] = record_type(step_id=entry.step_id, results=[])
        records[key].results.append(entry.result)
    return list(records.values())
