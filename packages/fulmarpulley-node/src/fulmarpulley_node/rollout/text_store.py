"""Store generated texts on the log, separate from the records that refer to them.

A node that takes over a partition, or serves it for the first time, reads all of its
records. Without the texts, these amount to a few per cent of the bytes.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.ids import Partition
from fulmarpulley_schema.codec import from_msgpack
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import TextRef

from ..observe.events import log_event
from .interfaces import DurableLog, StoreFailure

TEXTS_TOPIC = "texts"
# Trainers read results soon after they are listed; some read again from the start.
MAX_CACHE_BYTES = 4 * 1024 * 1024
# Per page of results.
MAX_CONCURRENT_READS = 8
# In a read, each record is preceded by its length.
RECORD_LENGTH_PREFIX_BYTES = 4

TextPosition = tuple[Partition, int]


class TextStore:
    """Append texts to the log and read them by reference, through a cache."""

    def __init__(self, settings: RolloutSettings, log: DurableLog) -> None:
        self.settings = settings
        self.log = log
        self._cache: OrderedDict[TextPosition, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def append(
        self, partition: Partition, texts: Sequence[bytes]
    ) -> Result[list[TextRef], StoreFailure]:
        """Append texts in one call and return their references."""
        parts_by_text = [_split(text, self.settings.log.record_bytes) for text in texts]
        records = [part for parts in parts_by_text for part in parts]
        result = await self.log.append(TEXTS_TOPIC, partition, records)
        if isinstance(result, Err):
            return result
        refs = []
        offset = result.ok_value
        for text, parts in zip(texts, parts_by_text, strict=True):
            refs.append(TextRef(offset=offset, records=len(parts), size=len(text)))
            self._cache_text((partition, offset), text)
            offset += len(parts)
        return Ok(refs)

    async def read(
        self, partition: Partition, refs: Sequence[TextRef]
    ) -> Result[list[bytes], StoreFailure]:
        """Return the texts of references, in the order of the references."""
        refs_by_offset = {ref.offset: ref for ref in refs}
        missing = [
            r
            for r in refs_by_offset.values()
            if (partition, r.offset) not in self._cache
        ]
        texts_by_offset = {
            ref.offset: self._cache[partition, ref.offset]
            for ref in refs_by_offset.values()
            if (partition, ref.offset) in self._cache
        }
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)
        groups = _group_adjacent(missing)
        results = await asyncio.gather(
            *(
                self._read_adjacent(partition, adjacent_refs, semaphore)
                for adjacent_refs in groups
            )
        )
        for adjacent_refs, texts in zip(groups, results, strict=True):
            if isinstance(texts, Err):
                return texts
            for ref, text in zip(adjacent_refs, texts.ok_value, strict=True):
                texts_by_offset[ref.offset] = text
                self._cache_text((partition, ref.offset), text)
        return Ok([texts_by_offset[ref.offset] for ref in refs])

    async def read_events(
        self, partition: Partition, refs: Sequence[TextRef]
    ) -> Result[list[bytes], StoreFailure]:
        """Return the events of all referenced texts, in order."""
        result = await self.read(partition, refs)
        if isinstance(result, Err):
            return result
        try:
            texts = [decode_events(text) for text in result.ok_value]
        except msgspec.DecodeError:
            offset = refs[0].offset if refs else 0
            log_event("text_unreadable", partition=partition, offset=offset)
            return Err(StoreFailure.UNKNOWN)
        return Ok([event for events in texts for event in events])

    async def _read_adjacent(
        self,
        partition: Partition,
        adjacent_refs: Sequence[TextRef],
        semaphore: asyncio.Semaphore,
    ) -> Result[list[bytes], StoreFailure]:
        count = sum(ref.records for ref in adjacent_refs)
        size = sum(
            ref.size + ref.records * RECORD_LENGTH_PREFIX_BYTES for ref in adjacent_refs
        )
        records: list[bytes] = []
        async with semaphore:
            while len(records) < count:
                start = adjacent_refs[0].offset + len(records)
                result = await self.log.read(TEXTS_TOPIC, partition, start, 0.0, size)
                if isinstance(result, Err):
                    return result
                page = result.ok_value
                if page.start != start or not page.records:
                    log_event("texts_missing", partition=partition, offset=start)
                    return Err(StoreFailure.EXPIRED)
                records += page.records
        return _join_records(adjacent_refs, records, partition)

    def _cache_text(self, position: TextPosition, text: bytes) -> None:
        if position in self._cache:
            return
        self._cache[position] = text
        self._cached_bytes += len(text)
        while self._cached_bytes > MAX_CACHE_BYTES:
            _, evicted = self._cache.popitem(last=False)
            self._cached_bytes -= len(evicted)


def encode_events(events: Sequence[bytes]) -> bytes:
    """Encode events as one text."""
    return msgspec.msgpack.encode(events)


def decode_events(text: bytes) -> list[bytes]:
    """Decode the events of a text."""
    return from_msgpack(text, list[bytes])


def _split(text: bytes, record_bytes: int) -> list[bytes]:
    starts = range(0, max(1, len(text)), record_bytes)
    return [text[start : start + record_bytes] for start in starts]


def _group_adjacent(refs: Sequence[TextRef]) -> list[list[TextRef]]:
    """Group references whose records are adjacent on the log."""
    groups: list[list[TextRef]] = []
    for ref in sorted(refs, key=lambda ref: ref.offset):
        last = groups[-1][-1] if groups else None
        if last is not None and last.offset + last.records == ref.offset:
            groups[-1].append(ref)
        else:
            groups.append([ref])
    return groups


def _join_records(
    adjacent_refs: Sequence[TextRef], records: Sequence[bytes], partition: Partition
) -> Result[list[bytes], StoreFailure]:
    texts = []
    index = 0
    for ref in adjacent_refs:
        text = b"".join(records[index : index + ref.records])
        index += ref.records
        if len(text) != ref.size:
            log_event("text_unreadable", partition=partition, offset=ref.offset)
            return Err(StoreFailure.UNKNOWN)
        texts.append(text)
    return Ok(texts)
