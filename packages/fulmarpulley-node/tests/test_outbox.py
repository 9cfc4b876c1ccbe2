"""Test what the owner of a partition writes for the next owner."""

import asyncio
import unittest
from collections.abc import Iterable, Sequence
from types import SimpleNamespace

from result import Err, Ok, Result

from fulmarpulley_core.ids import Partition, StepId
from fulmarpulley_core.rollout.step_records import StepRecord
from fulmarpulley_node.rollout.interfaces import StoreFailure
from fulmarpulley_node.rollout.item_runs import PendingResult, UnsavedProgress
from fulmarpulley_node.rollout.outbox import Outbox
from fulmarpulley_schema.generated.steps import (
    ItemProgress,
    ItemResult,
    ItemResults,
    ItemState,
    TextRef,
)

CALL_BYTES = 2000
APPEND_TIMEOUT_S = 1.0


class FakeTextStore:
    """Refuses appends above the log's call limit, as the log does."""

    def __init__(self) -> None:
        self.count = 0

    async def append(
        self, partition: Partition, texts: Sequence[bytes]
    ) -> Result[list[TextRef], StoreFailure]:
        if sum(len(text) for text in texts) > CALL_BYTES:
            return Err(StoreFailure.REFUSED)
        self.count += len(texts)
        return Ok([TextRef(offset=0, records=1, size=len(text)) for text in texts])


class FakePartitions:
    """Holds the appended records; appends during an outage are lost."""

    def __init__(self) -> None:
        self.store_available = asyncio.Event()
        self.store_available.set()
        self.followers = {Partition(0): self}
        self.appends = 0
        self.texts = FakeTextStore()
        self.records: list[StepRecord] = []
        self.settings = SimpleNamespace(log=SimpleNamespace(call_bytes=CALL_BYTES))

    async def append(
        self, partition: Partition, records: Iterable[StepRecord]
    ) -> Result[int, StoreFailure]:
        self.appends += 1
        if not self.store_available.is_set():
            await asyncio.sleep(APPEND_TIMEOUT_S)
            return Err(StoreFailure.UNKNOWN)
        self.records += records
        return Ok(0)

    async def sync(self, timeout_s: float) -> bool:
        try:
            await asyncio.wait_for(self.store_available.wait(), timeout_s)
        except TimeoutError:
            return False
        return True


def progress(number: int, size: int) -> UnsavedProgress:
    return UnsavedProgress(
        step_id=StepId("s"),
        item_id=f"i{number}",
        run="r",
        start=0,
        events=[bytes(size)],
        versions=[1],
    )


class SaveTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an owner that saves nothing if the events exceed one append."""

    async def test_progress_above_call_limit_is_saved_in_several_appends(self) -> None:
        partitions = FakePartitions()
        outbox = Outbox(partitions, Partition(0))  # type: ignore[arg-type]
        unsaved = [progress(number, 400) for number in range(20)]
        self.assertEqual(await outbox.save(unsaved), unsaved)
        saved = [r.item_id for r in partitions.records if isinstance(r, ItemProgress)]
        self.assertEqual(saved, [f"i{number}" for number in range(20)])

    async def test_oversized_item_does_not_block_others(self) -> None:
        outbox = Outbox(FakePartitions(), Partition(0))  # type: ignore[arg-type]
        small = progress(1, 10)
        saved = await outbox.save([progress(0, 3 * CALL_BYTES), small])
        self.assertEqual(saved, [small])


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Guards against results that wait for an append time-out after an outage."""

    async def test_results_are_written_promptly_after_outage(self) -> None:
        partitions = FakePartitions()
        partitions.store_available.clear()
        outbox = Outbox(partitions, Partition(0))  # type: ignore[arg-type]
        writing = asyncio.create_task(outbox.run())
        result = ItemResult(item_id="i", state=ItemState.COMPLETED, text=b"t")
        outbox.put(PendingResult(StepId("s"), result))
        await asyncio.sleep(1.8 * APPEND_TIMEOUT_S)
        self.assertEqual(partitions.appends, 1)
        partitions.store_available.set()
        await asyncio.wait_for(outbox.flush(APPEND_TIMEOUT_S), APPEND_TIMEOUT_S / 2)
        (record,) = partitions.records
        assert isinstance(record, ItemResults)
        self.assertEqual([r.item_id for r in record.results], ["i"])
        writing.cancel()
