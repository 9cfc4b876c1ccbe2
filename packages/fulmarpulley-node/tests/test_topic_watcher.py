import asyncio
import itertools
import unittest
from typing import Any

from result import Ok, Result
from rollout_settings import crash_reports

from fulmarpulley_core.ids import DataCentre, ServiceName, UpstreamId
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_node.background_tasks import BackgroundTasks
from fulmarpulley_node.platform.store import Listing
from fulmarpulley_node.platform.topic_watcher import (
    SERVER_TOPIC,
    CrashRecordHandler,
    TopicTail,
    TopicWatcher,
)
from fulmarpulley_node.rollout.directory import Directory
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

    def handle_end(self, read_at_s: float) -> None:
        pass


class FailingHandler(RecordingHandler):
    """Fails to handle a key, and the first listings of the topic."""

    def __init__(self, failing_key: str = "", failing_lists: int = 0) -> None:
        super().__init__()
        self.failing_key = failing_key
        self.failing_lists = failing_lists
        self.listed = asyncio.Event()

    def handle_record(self, key: str, value: bytes | None) -> None:
        super().handle_record(key, value)
        if key == self.failing_key:
            raise RecursionError("nested too deeply")

    def handle_snapshot(self, items: list[Any]) -> None:
        if self.failing_lists:
            self.failing_lists -= 1
            raise OverflowError("int too large to convert to float")
        self.listed.set()


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
        key = str(len(self.reads) % 10).encode()
        return Ok(LogPage(start, [b"\x01" + key + b"{}"], start + 1 + self.backlog, 0))


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


class FailureTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one record that ends the reading of a topic."""

    def watch(self, handler: FailingHandler, store: BusyStore) -> TopicTail:
        return TopicTail(
            store,  # type: ignore[arg-type]
            SERVER_TOPIC,
            handler,
            RolloutMetrics(),
        )

    async def test_records_after_one_that_raises_are_handled(self) -> None:
        handler, store = FailingHandler(failing_key="2"), BusyStore(reads=5)
        async with asyncio.timeout(30.0):
            await run_until_done(self.watch(handler, store), store)
        self.assertEqual(handler.keys[:4], ["1", "2", "3", "4"])

    async def test_topic_is_listed_again_after_a_listing_that_raises(self) -> None:
        handler, store = FailingHandler(failing_lists=2), BusyStore(reads=1)
        tasks = BackgroundTasks()
        tasks.supervise(self.watch(handler, store).run)
        async with asyncio.timeout(30.0):
            await handler.listed.wait()
        await tasks.stop()


class CrashTopicTest(unittest.TestCase):
    """Guards against an outage of one topic that changes how others are read."""

    def test_outage_of_the_crash_topic_delays_no_removal_of_an_upstream(self) -> None:
        directory, store = Directory(RolloutMetrics()), BusyStore(reads=1)
        watcher = TopicWatcher(
            store,  # type: ignore[arg-type]
            directory,
            crash_reports(),
            RolloutMetrics(),
        )
        directory.upstream_put(
            ListedUpstream(
                upstream_id=UpstreamId("d0"),
                service=ServiceName("desk"),
                address="127.0.0.1:9",
                data_centre=DataCentre("a1"),
            )
        )
        listener = CrashRecordHandler(watcher).listener
        listener.store_lost("keyed.crashes", "refused")
        listener.store_regained("keyed.crashes", 5.0)
        directory.upstream_removed(UpstreamId("d0"))
        self.assertIsNone(directory.upstream(UpstreamId("d0")))
