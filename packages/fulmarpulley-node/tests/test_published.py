import asyncio
import itertools
import unittest
from typing import Any

from result import Ok, Result

from fulmarpulley_node.platform.published import SERVER_TOPIC, Tail
from fulmarpulley_node.platform.store import Listing
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure

GATHER_S = 0.05


class Reader:
    """Takes records and notes nothing else."""

    listener: Any = None

    def __init__(self) -> None:
        self.keys: list[str] = []

    def put(self, key: str, value: bytes | None) -> None:
        self.keys.append(key)

    def replace(self, items: list[Any]) -> None:
        pass


class BusyStore:
    """Has a record more for each read, as if many workers wrote all the time."""

    def __init__(self, reads: int, ahead: int = 0) -> None:
        self.wanted = reads
        self.ahead = ahead
        self.reads: list[float] = []
        self.done = asyncio.Event()

    async def newest(self, topic: str) -> Result[Listing, StoreFailure]:
        return Ok(Listing([], 0))

    async def read(
        self, topic: str, partition: int, start: int, wait_s: float
    ) -> Result[LogPage, StoreFailure]:
        self.reads.append(asyncio.get_running_loop().time())
        if len(self.reads) >= self.wanted:
            self.done.set()
        await asyncio.sleep(0)
        return Ok(LogPage(start, [b"\x01k{}"], start + 1 + self.ahead, 0))


async def play(tail: Tail, store: BusyStore) -> None:
    task = asyncio.create_task(tail.run())
    await store.done.wait()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class TailTest(unittest.IsolatedAsyncioTestCase):
    """Guards against nodes that wake for each heartbeat of each worker."""

    def tail(self, store: BusyStore, gather_s: float = GATHER_S) -> Tail:
        return Tail(store, SERVER_TOPIC, Reader(), gather_s)  # type: ignore[arg-type]

    async def test_reads_are_apart_however_many_records_arrive(self) -> None:
        store = BusyStore(reads=4)
        await play(self.tail(store), store)
        gaps = [b - a for a, b in itertools.pairwise(store.reads)]
        self.assertGreaterEqual(min(gaps), GATHER_S * 0.99)

    async def test_reader_that_is_behind_does_not_wait(self) -> None:
        # An entry of a worker that leaves may stand at the end of a long backlog.
        store = BusyStore(reads=5, ahead=1)
        async with asyncio.timeout(30.0):
            await play(self.tail(store, gather_s=3600.0), store)
