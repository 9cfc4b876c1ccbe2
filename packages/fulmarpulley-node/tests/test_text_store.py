"""Test that texts on the log are not mixed up or read more often than needed."""

import unittest
from collections.abc import Sequence

from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import Partition
from fulmarpulley_node.rollout.interfaces import LogPage, StoreFailure
from fulmarpulley_node.rollout.text_store import TextStore, decode_events, encode_events

RECORD_BYTES = 1024
SETTINGS = settings(record_bytes=RECORD_BYTES)
PARTITION = Partition(0)


class MemoryLog:
    """Holds one partition in memory and returns at most two records per read."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.reads: list[int] = []
        self.failure: StoreFailure | None = None

    async def append(
        self, topic: str, partition: int, records: Sequence[bytes]
    ) -> Result[int, StoreFailure]:
        assert all(len(record) <= RECORD_BYTES for record in records)
        self.records += records
        return Ok(len(self.records) - len(records))

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        wait_s: float,
        max_bytes: int = 0,
    ) -> Result[LogPage, StoreFailure]:
        self.reads.append(start)
        if self.failure is not None:
            return Err(self.failure)
        start = max(start, self.first)
        found = self.records[start : start + 2]
        return Ok(LogPage(start, found, len(self.records), self.first))


class TextsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.log = MemoryLog()
        self.writer = TextStore(SETTINGS, self.log)  # type: ignore[arg-type]
        self.reader = TextStore(SETTINGS, self.log)  # type: ignore[arg-type]

    async def test_texts_are_returned_in_reference_order(self) -> None:
        first = (await self.writer.append(PARTITION, [b"a" * 10, b"b" * 20])).unwrap()
        await self.writer.append(PARTITION, [b"between"])
        last = (await self.writer.append(PARTITION, [b"c"])).unwrap()
        found = await self.reader.read(PARTITION, [*last, *reversed(first)])
        self.assertEqual(found.unwrap(), [b"c", b"b" * 20, b"a" * 10])

    async def test_text_above_record_limit_is_reassembled(self) -> None:
        text = bytes(range(256)) * 20
        refs = (await self.writer.append(PARTITION, [b"x", text, b""])).unwrap()
        found = await self.reader.read(PARTITION, refs)
        self.assertEqual(found.unwrap(), [b"x", text, b""])

    async def test_text_is_read_from_log_once(self) -> None:
        refs = (await self.writer.append(PARTITION, [b"a"])).unwrap()
        await self.reader.read(PARTITION, refs)
        await self.reader.read(PARTITION, refs)
        await self.writer.read(PARTITION, refs)
        self.assertEqual(self.log.reads, [0])

    async def test_read_fails_when_log_is_unreachable(self) -> None:
        refs = (await self.writer.append(PARTITION, [b"a"])).unwrap()
        self.log.failure = StoreFailure.UNREACHABLE
        found = await self.reader.read(PARTITION, refs)
        self.assertEqual(found.err(), StoreFailure.UNREACHABLE)

    async def test_read_fails_when_text_is_expired(self) -> None:
        refs = (await self.writer.append(PARTITION, [b"a"])).unwrap()
        await self.writer.append(PARTITION, [b"b"])
        self.log.first = 1
        found = await self.reader.read(PARTITION, refs)
        self.assertEqual(found.err(), StoreFailure.EXPIRED)

    async def test_events_with_line_feeds_round_trip(self) -> None:
        events = [b"one\ntwo", b"", b"three"]
        self.assertEqual(decode_events(encode_events(events)), events)
