"""Read and append to the platform's log within a rate budget."""

import asyncio
import uuid
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from aiomisc import Service
from result import Err, Ok, Result

from fulmarpulley_core.ids import Offset
from fulmarpulley_schema.codec import from_json, to_builtins, to_json
from fulmarpulley_schema.generated.records import (
    ClaimEntry,
    Claims,
    OutcomeEntry,
    Outcomes,
    Record,
    RecordKind,
)
from fulmarpulley_schema.generated.settings import NodeSettings
from fulmarpulley_schema.generated.upstream import LogPage

from .observe.events import log_event
from .observe.metrics import Metrics
from .services import log_dialects
from .services.dialects import PlatformFailure

# Upper limit of a long poll; bounds how long a dead connection goes unnoticed.
POLL_WAIT_S = 2.0
PAGE_RECORDS = 1000
RETRY_PAUSE_S = 0.25
MAX_APPEND_ATTEMPTS = 4
# With this many entries a record of stored answers stays below 1 MiB.
MAX_BATCH_ENTRIES = 64


class Batch:
    """Collect entries that are appended as one record of a stream."""

    def __init__(self) -> None:
        self.entries: list[Any] = []
        self.appended: asyncio.Future[Result[Offset, PlatformFailure]] = (
            asyncio.get_running_loop().create_future()
        )


class LogClient(Service):
    """Append to and read from the streams of the log."""

    def __init__(self, settings: NodeSettings, metrics: Metrics) -> None:
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.dialect = log_dialects.get(settings.log.dialect)(settings.log)
        self.healthy = False
        self.next_append_at = 0.0
        self._batches: dict[tuple[str, RecordKind], Batch] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Do nothing; the first call opens a connection."""

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await self.dialect.close()

    async def append(
        self, stream: str, record: Record
    ) -> Result[Offset, PlatformFailure]:
        """Append one record; after an error it may still be in the stream."""
        data = to_json(record).decode()
        for _ in range(MAX_APPEND_ATTEMPTS):
            await self._reserve_append()
            result = await self.dialect.append(stream, record.record_id, data)
            if result != Err(PlatformFailure.RATE_LIMITED):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        outcome = "ok" if result.is_ok() else str(result.unwrap_err())
        self.metrics.log_appends.inc({"stream": stream, "outcome": outcome})
        self._set_health(result.is_ok() or outcome == PlatformFailure.RATE_LIMITED)
        return result.map(Offset)

    async def append_claim(
        self, stream: str, entry: ClaimEntry
    ) -> Result[Offset, PlatformFailure]:
        """Append a claim, batched with other claims of the same stream."""
        return await self._append_entry(stream, RecordKind.CLAIMS, entry)

    async def append_outcome(
        self, stream: str, entry: OutcomeEntry
    ) -> Result[Offset, PlatformFailure]:
        """Append an outcome, batched with other outcomes of the same stream."""
        return await self._append_entry(stream, RecordKind.OUTCOMES, entry)

    async def read(
        self, stream: str, start: int, wait_s: float = 0.0, limit: int = PAGE_RECORDS
    ) -> Result[LogPage, PlatformFailure]:
        """Read one page, waiting up to `wait_s` for records."""
        page = await self.dialect.read(stream, start, limit, wait_s)
        self._set_health(page.is_ok())
        return page

    async def tail(
        self, stream: str, start: int
    ) -> AsyncIterator[Result[LogPage, PlatformFailure]]:
        """Yield pages without end, including empty pages and errors.

        After a gap, pages continue at the first offset that the log has retained.
        """
        position = start
        while True:
            page = await self.read(stream, position, POLL_WAIT_S)
            yield page
            if isinstance(page, Ok):
                position = max(page.ok_value.next, page.ok_value.first)
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _append_entry(
        self, stream: str, kind: RecordKind, entry: ClaimEntry | OutcomeEntry
    ) -> Result[Offset, PlatformFailure]:
        batch = self._batches.get((stream, kind))
        if batch is None:
            batch = self._batches[stream, kind] = Batch()
            task = asyncio.get_running_loop().create_task(
                self._flush(stream, kind, batch)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        batch.entries.append(entry)
        if len(batch.entries) >= MAX_BATCH_ENTRIES:
            self._batches.pop((stream, kind), None)
        return await asyncio.shield(batch.appended)

    async def _flush(self, stream: str, kind: RecordKind, batch: Batch) -> None:
        await asyncio.sleep(self.settings.log_budget.linger_ms / 1000)
        await self._wait_for_budget()
        if self._batches.get((stream, kind)) is batch:
            del self._batches[stream, kind]
        body = (
            Claims(entries=batch.entries)
            if kind is RecordKind.CLAIMS
            else Outcomes(entries=batch.entries)
        )
        result: Result[Offset, PlatformFailure] = Err(PlatformFailure.LOST)
        try:
            result = await self.append(stream, new_record(kind, body))
        finally:
            # Also on an exception, or the callers that wait for the batch would hang.
            if not batch.appended.done():
                batch.appended.set_result(result)

    async def _reserve_append(self) -> None:
        await self._wait_for_budget()
        now = asyncio.get_running_loop().time()
        interval = 1 / self.settings.log_budget.appends_per_s
        self.next_append_at = max(self.next_append_at, now) + interval

    async def _wait_for_budget(self) -> None:
        # Allows a burst of one second's budget without delay.
        while True:
            now = asyncio.get_running_loop().time()
            wait = self.next_append_at - now - 1.0
            if wait <= 0:
                return
            await asyncio.sleep(wait)

    def _set_health(self, healthy: bool) -> None:
        if healthy != self.healthy:
            log_event("log_reachable" if healthy else "log_unreachable")
        self.healthy = healthy


def new_record(kind: RecordKind, body: Any, record_id: str = "") -> Record:
    """Wrap a body in a record, with a new id unless one is given."""
    return Record(
        record_id=record_id or uuid.uuid4().hex, kind=kind, body=to_builtins(body)
    )


def read_record(data: str) -> Result[Record, str]:
    """Decode the data of a log record."""
    try:
        return Ok(from_json(data, Record))
    except (msgspec.DecodeError, UnicodeError) as error:
        return Err(str(error))
