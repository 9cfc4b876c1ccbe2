"""Run a simulated append-only log service."""

import asyncio
import time
from collections import deque

import defopt
import msgspec
from aiohttp import web

from fulmarpulley_schema.generated.upstream import (
    LogAppend,
    LogAppended,
    LogPage,
    LogRecord,
)

from .history import History
from .serving import (
    RateLimit,
    abort_connection,
    add_control,
    decode_body,
    json_response,
    serve,
    sleep_if_positive,
)

MAX_WAIT_S = 30.0
# Exceeds every client timeout, so that a request that meets the fault gets no answer.
UNANSWERED_WAIT_S = 3600.0


class LogFaults(msgspec.Struct):
    """Hold the limits and faults of the log; 0 disables one."""

    appends_per_s: float = 400.0
    retain_count: int = 0
    retain_s: float = 0.0
    outage: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    double_appends: int = 0


class Stream:
    """Store the records of one stream."""

    def __init__(self) -> None:
        self.records: deque[tuple[float, LogRecord]] = deque()
        self.next = 1
        self.changed = asyncio.Event()

    def append(self, record: LogAppend) -> int:
        """Append a record, notify waiting readers and return its offset."""
        offset = self.next
        stored = LogRecord(offset=offset, id=record.id, data=record.data)
        self.records.append((time.monotonic(), stored))
        self.next += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, faults: LogFaults) -> None:
        """Delete records that exceed the retention by count or age."""
        while faults.retain_count and len(self.records) > faults.retain_count:
            self.records.popleft()
        retained_since = time.monotonic() - faults.retain_s
        while faults.retain_s and self.records and self.records[0][0] < retained_since:
            self.records.popleft()

    def page(self, start: int, limit: int) -> LogPage:
        """Return records from an offset on; an offset out of range is clamped."""
        first = self.records[0][1].offset if self.records else self.next
        start = max(first, min(start, self.next))
        first_index = start - first
        size = min(limit, self.next - start)
        records = [self.records[first_index + i][1] for i in range(size)]
        return LogPage(first=first, next=start + size, records=records)


class LogService:
    """Serve streams of records."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self.streams: dict[str, Stream] = {}
        self.rate = RateLimit(time.monotonic)

    def stream(self, request: web.Request) -> Stream:
        """Return the stream in the path of a request."""
        return self.streams.setdefault(request.match_info["stream"], Stream())

    async def apply_faults(self) -> web.Response | None:
        """Apply delay, silence and outage; return the error response of an outage."""
        await sleep_if_positive(self.faults.delay_s)
        await sleep_if_positive(UNANSWERED_WAIT_S if self.faults.silent else 0.0)
        return web.Response(status=503) if self.faults.outage else None

    async def append(self, request: web.Request) -> web.Response:
        """Append one record."""
        record = await decode_body(request, LogAppend)
        if (error_response := await self.apply_faults()) is not None:
            return error_response
        if not self.rate.allow(self.faults.appends_per_s):
            return web.Response(status=429)
        stream = self.stream(request)
        offset = stream.append(record)
        if self.faults.double_appends > 0:
            self.faults.double_appends -= 1
            stream.append(record)
        stream.expire(self.faults)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return abort_connection(request)
        return json_response(LogAppended(offset=offset))

    async def read(self, request: web.Request) -> web.Response:
        """Return a page of records, waiting up to wait_s for the first one."""
        if (error_response := await self.apply_faults()) is not None:
            return error_response
        stream = self.stream(request)
        start = int(request.query.get("from", "1"))
        limit = int(request.query.get("max", "1000"))
        wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
        if wait_s > 0 and limit > 0 and start >= stream.next:
            await _wait(stream.changed, wait_s)
        if (error_response := await self.apply_faults()) is not None:
            return error_response
        stream.expire(self.faults)
        return json_response(stream.page(start, limit))


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


def application() -> web.Application:
    """Build the application of a log service."""
    service = LogService()
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.router.add_post("/streams/{stream}/records", service.append)
    app.router.add_get("/streams/{stream}/records", service.read)
    add_control(app, service, History())
    return app


def main(*, port: int) -> None:
    """Run a log service."""
    serve(application(), port)


if __name__ == "__main__":
    defopt.run(main)
