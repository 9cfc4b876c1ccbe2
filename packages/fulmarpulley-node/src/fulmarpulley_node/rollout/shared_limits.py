"""Reserve send times at upstreams that limit their rate, through the log."""

import asyncio
import random

import msgspec
from aiomisc import Service
from result import Err

from fulmarpulley_core.ids import Partition
from fulmarpulley_core.rollout.send_schedule import US_PER_S
from fulmarpulley_core.rollout.shared_limits import (
    SEEN_INTERVAL_S,
    SharedLimitsFold,
    decode,
    encode,
)
from fulmarpulley_core.rollout.stated_limits import Incarnation
from fulmarpulley_schema.generated.limits import NodeSeen, SendRequest
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .clock import elapsed_s, unix_us
from .interfaces import DurableLog, LogPage

LIMITS_TOPIC = "limits"
LIMITS_PARTITION = Partition(0)
# Records that a starting node reads; reservations reach a few seconds ahead.
TAIL_RECORDS = 1024
# A node that has not read for this long reads before it asks, since its clock may be
# behind those of others.
MAX_READ_AGE_S = 1.0
# A caller's request must not wait long for a log that does not answer.
ANSWER_TIMEOUT_S = 0.2
RETRY_DELAY_S = 1.0
# Pages that are read to find the records of an append.
MAX_READS = 8
FIRST_SEEN_INTERVAL_S = 3.0
# Assumed as long as the log has not told how many nodes there are.
ASSUMED_NODES = 16


class SendTime(msgspec.Struct, frozen=True):
    """Hold when a request may be sent, or when to ask again if it is not granted.

    :param at_s: seconds of the clock that counts suspended time
    """

    granted: bool
    at_s: float


class PendingRequest(msgspec.Struct, eq=False):
    """Hold a request for a send time until the log has decided on it."""

    upstream: Incarnation
    interval_us: int
    max_wait_us: int
    answer: asyncio.Future[SendTime | None]


class SharedLimits(Service):
    """Ask for send times by records on the log, several in one append."""

    def __init__(self, settings: RolloutSettings, log: DurableLog) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.tasks = BackgroundTasks()
        self.fold = SharedLimitsFold()
        # By how much the clock that the nodes share is ahead of this node's.
        self.clock_lead_us = 0
        self.next_offset: int | None = None
        self.read_at_s = float("-inf")
        self.unavailable_until_s = float("-inf")
        self._pending: list[PendingRequest] = []
        self._writer: asyncio.Task[None] | None = None
        # Held while records are appended and read back.
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Start to count this node among those that share limits."""
        self.tasks.supervise(self._report_presence)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all tasks."""
        await self.tasks.stop()

    def now_us(self) -> int:
        """Return the time of the clock that the nodes share."""
        return unix_us() + self.clock_lead_us

    def count_nodes(self) -> int:
        """Return how many nodes share the limits."""
        if self.next_offset is None:
            return ASSUMED_NODES
        return max(1, self.fold.count_nodes())

    async def reserve(
        self, upstream: Incarnation, interval_us: int, max_wait_us: int
    ) -> SendTime | None:
        """Reserve a send time; return None if the log does not answer soon."""
        now_s = elapsed_s()
        if now_s < self.unavailable_until_s:
            return None
        # Records that were not read yet can only make the wait longer.
        wait_us = self.fold.schedule.wait_us(upstream, interval_us, self.now_us())
        if wait_us > max_wait_us:
            return SendTime(False, now_s + wait_us / US_PER_S)
        answer: asyncio.Future[SendTime | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(PendingRequest(upstream, interval_us, max_wait_us, answer))
        if self._writer is None or self._writer.done():
            self._writer = self.tasks.spawn(self._write())
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await answer
        except TimeoutError:
            self._record_failure("no answer")
            return None

    async def _write(self) -> None:
        while self._pending:
            batch = [r for r in self._pending if not r.answer.done()]
            self._pending = []
            if not batch:
                return
            async with self._lock:
                send_times = await self._ask(batch)
            for index, request in enumerate(batch):
                if not request.answer.done():
                    request.answer.set_result(send_times[index] if send_times else None)

    async def _ask(self, batch: list[PendingRequest]) -> list[SendTime] | None:
        """Append the requests of a batch and return the decisions on them."""
        if elapsed_s() > self.read_at_s + MAX_READ_AGE_S and not await self._read():
            return None
        asked_at_s = elapsed_s()
        records = [self._to_record(request) for request in batch]
        data = [encode(record) for record in records]
        result = await self.log.append(LIMITS_TOPIC, LIMITS_PARTITION, data)
        if isinstance(result, Err):
            self._record_failure(result.err_value.value)
            return None
        first = result.ok_value
        send_times: dict[int, SendTime] = {}
        if first == self.next_offset:
            self._apply(first, data, asked_at_s, send_times)
            self.read_at_s = elapsed_s()
        own = range(first, first + len(data))
        reads = 0
        while not all(offset in send_times for offset in own):
            reads += 1
            if reads > MAX_READS or not await self._read(asked_at_s, send_times):
                return None
        return [send_times[offset] for offset in own]

    def _to_record(self, request: PendingRequest) -> SendRequest:
        return SendRequest(
            node_id=self.settings.node_id,
            upstream=request.upstream.upstream_id,
            started_ms=request.upstream.started_ms,
            at_us=self.now_us(),
            interval_us=request.interval_us,
            max_wait_us=request.max_wait_us,
        )

    async def _read(
        self,
        asked_at_s: float = 0.0,
        send_times: dict[int, SendTime] | None = None,
    ) -> bool:
        """Read a page; return False if the log cannot be read."""
        if self.next_offset is None and not await self._find_tail():
            return False
        page = await self._read_page(self.next_offset or 0)
        if page is None:
            return False
        if page.start > (self.next_offset or 0):
            self.next_offset = page.start
        self._apply(page.start, page.records, asked_at_s, send_times)
        self.read_at_s = elapsed_s()
        return True

    async def _find_tail(self) -> bool:
        page = await self._read_page(0, max_bytes=1)
        if page is not None and not page.records:
            # The first records have expired, so the end is not known yet.
            page = await self._read_page(page.first, max_bytes=1)
        if page is None:
            return False
        self.next_offset = max(page.first, page.end - TAIL_RECORDS)
        return True

    async def _read_page(self, start: int, max_bytes: int = 0) -> LogPage | None:
        result = await self.log.read(
            LIMITS_TOPIC, LIMITS_PARTITION, start, 0.0, max_bytes
        )
        if isinstance(result, Err):
            self._record_failure(result.err_value.value)
            return None
        return result.ok_value

    def _apply(
        self,
        start: int,
        records: list[bytes],
        asked_at_s: float,
        send_times: dict[int, SendTime] | None,
    ) -> None:
        for offset, data in enumerate(records, start):
            if offset != self.next_offset:
                continue
            self.next_offset += 1
            record = decode(data)
            if record is None:
                log_event("limit_record_unreadable", offset=offset)
                continue
            # Nodes adopt the clock that is furthest ahead, so that the requests of a
            # node whose clock is behind do not all come too late.
            self.clock_lead_us = max(self.clock_lead_us, record.at_us - unix_us())
            reservation = self.fold.apply(record)
            if reservation is not None and send_times is not None:
                at_s = asked_at_s + reservation.wait_us / US_PER_S
                send_times[offset] = SendTime(reservation.granted, at_s)

    def _record_failure(self, reason: str) -> None:
        now_s = elapsed_s()
        if now_s >= self.unavailable_until_s:
            log_event("limits_not_shared", reason=reason, nodes=self.count_nodes())
        self.unavailable_until_s = now_s + RETRY_DELAY_S

    async def _report_presence(self) -> None:
        # Nodes that start at the same time read the records of each other soon.
        pause_s = FIRST_SEEN_INTERVAL_S
        while True:
            record = NodeSeen(node_id=self.settings.node_id, at_us=self.now_us())
            async with self._lock:
                await self.log.append(LIMITS_TOPIC, LIMITS_PARTITION, [encode(record)])
                await self._read()
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.0))
            pause_s = SEEN_INTERVAL_S
