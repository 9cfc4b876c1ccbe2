import asyncio
import itertools
import unittest
from typing import Any

from result import Ok, Result

from fulmarpulley_node.platform.store import Listing
from fulmarpulley_node.platform.topic_watcher import SERVER_TOPIC, TopicTail
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics

BATCH_INTERVAL_S = 0.05


class RecordingHandler:
    """Records the keys that it is given."""

    listener: Any = None

    def __init__(self) -> None:
        self.keys: list[str] = []

    def handle_record(self, key: str, value: bytes | None) -> None:
        self.keys.append(key)

    def handle_snapshot(self, items: list[Any]) -> None:
        pass


class BusyStore:
    """Returns a new record for each read, as if many workers wrote continuously."""

    def __init__(self, reads: int, backlog: int = 0) -> None:
        self.expected_reads = reads
        self.backlog = backlog
        self.reads: list[float] = []
        self.done = asyncio.Event()

    async def newest(self, topic: str) -> Result[Listing, StoreFailure]:
        return Ok(Listing([], 0))

    async def read(
        self, topic: str, partition: int, start: int, wait_s: float
    ) -> Result[LogPage, StoreFailure]:
        self.reads.append(asyncio.get_running_loop().time())
        if len(self.reads) >= self.expected_reads:
            self.done.set()
        await asyncio.sleep(0)
        return Ok(LogPage(start, [b"\x01k{}"], start + 1 + self.backlog, 0))


async def run_until_done(tail: TopicTail, store: BusyStore) -> None:
    task = asyncio.create_task(tail.run())
    await store.done.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class TailTest(unittest.IsolatedAsyncioTestCase):
    """Guards against nodes that wake up for every heartbeat of every worker."""

    def tail(
        self, store: BusyStore, batch_interval_s: float = BATCH_INTERVAL_S
    ) -> TopicTail:
        return TopicTail(
            store,  # type: ignore[arg-type]
            SERVER_TOPIC,
            RecordingHandler(),
            RolloutMetrics(),
            batch_interval_s,
        )

    async def test_reads_are_spaced_when_records_arrive_continuously(self) -> None:
        store = BusyStore(reads=4)
        await run_until_done(self.tail(store), store)
        gaps = [b - a for a, b in itertools.pairwise(store.reads)]
        self.assertGreaterEqual(min(gaps), BATCH_INTERVAL_S * 0.99)

    async def test_reads_are_not_spaced_when_tail_has_backlog(self) -> None:
        # The entry of a draining worker may be at the end of a long backlog.
        store = BusyStore(reads=5, backlog=1)
        async with asyncio.timeout(30.0):
            await run_until_done(self.tail(store, batch_interval_s=3600.0), store)
