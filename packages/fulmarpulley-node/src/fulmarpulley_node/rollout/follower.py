"""Read a partition of step records and keep its fold current."""

import asyncio
import time

from result import Err

from fulmarpulley_core.ids import Partition
from fulmarpulley_core.rollout.step_fold import StepFold
from fulmarpulley_core.rollout.step_records import RecordReader
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks, log_failure
from ..observe.events import log_event
from .clock import elapsed_s, unix_ms
from .interfaces import DurableLog, LogPage, StoreFailure

STEPS_TOPIC = "steps"
# Short enough for an unresponsive connection to be noticed soon.
LONG_POLL_S = 1.0
RETRY_DELAY_S = 0.1
# A partition that nobody has requested for this long is no longer read. Trainers poll
# twice a second.
IDLE_TIMEOUT_S = 3.0
EXPIRY_INTERVAL_S = 5.0


class PartitionFollower:
    """Read one partition while this node owns it or has requests for it."""

    def __init__(
        self,
        settings: RolloutSettings,
        log: DurableLog,
        partition: Partition,
        tasks: BackgroundTasks,
    ) -> None:
        self.settings = settings
        self.log = log
        self.partition = partition
        self.tasks = tasks
        self.fold = StepFold()
        self.next_offset = 0
        self.owned = False
        # The fold holds all records appended before this monotonic time.
        self.current_as_of = float("-inf")
        self.healthy = True
        self._reader = RecordReader()
        self._changed = asyncio.Event()
        # Whether the log had more records at the last read than the fold holds.
        self._behind = True
        self._read_ended = asyncio.Event()
        self._shared_read: asyncio.Task[None] | None = None
        self._active_until = 0.0
        self._follow_task: asyncio.Task[None] | None = None
        self._expired_at = 0.0

    def keep_active(self) -> None:
        """Start reading if necessary, and read on until the idle time-out."""
        self._active_until = time.monotonic() + IDLE_TIMEOUT_S
        if self._follow_task is None or self._follow_task.done():
            self._follow_task = self.tasks.supervise(self._follow)

    def set_owned(self, owned: bool) -> None:
        """Set whether this node owns the partition, which keeps it read."""
        self.owned = owned
        self.keep_active()

    async def sync(self, timeout_s: float, max_age_s: float = 0.0) -> bool:
        """Read all records appended before the call; return False on time-out.

        :param max_age_s: seconds by which the fold may lag behind the call
        """
        self.keep_active()
        required_as_of = time.monotonic() - max_age_s
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                while self.current_as_of < required_as_of:
                    await self._await_read()
        except TimeoutError:
            return False
        return True

    async def read_to_end(self, timeout_s: float) -> bool:
        """Read all records appended before the call, without following the partition.

        Return False if the log cannot be read or does not answer in time.
        """
        if self._follow_task is not None and not self._follow_task.done():
            return await self.sync(timeout_s)
        required_as_of = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                while self.current_as_of < required_as_of:
                    if await self._read(0.0) is not None:
                        return False
        except TimeoutError:
            return False
        return True

    async def _await_read(self) -> None:
        """Wait for a read to end; concurrent callers share it."""
        if self._behind:
            # The follow task reads on without a pause. A separate read for each caller
            # multiplied the bytes read after a restart of all nodes.
            await self._read_ended.wait()
            return
        if self._shared_read is None or self._shared_read.done():
            self._shared_read = self.tasks.spawn(self._read_now())
        await asyncio.shield(self._shared_read)

    async def _read_now(self) -> None:
        if await self._read(0.0) is not None:
            await asyncio.sleep(RETRY_DELAY_S)

    async def wait_for_change(self, timeout_s: float) -> bool:
        """Wait until the fold changes; return False on time-out."""
        self.keep_active()
        event = self._changed
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await event.wait()
        except TimeoutError:
            return False
        return True

    async def _follow(self) -> None:
        while self.owned or time.monotonic() < self._active_until:
            failure = await self._read(0.0 if self._behind else LONG_POLL_S)
            if failure is not None:
                await asyncio.sleep(RETRY_DELAY_S)
            self._expire()

    async def _read(self, wait_s: float) -> StoreFailure | None:
        try:
            return await self._read_page(wait_s)
        finally:
            self._read_ended.set()
            self._read_ended = asyncio.Event()

    async def _read_page(self, wait_s: float) -> StoreFailure | None:
        started_at = time.monotonic()
        start = self.next_offset
        result = await self.log.read(STEPS_TOPIC, self.partition, start, wait_s)
        if isinstance(result, Err):
            self._record_failure(result.err_value)
            return result.err_value
        page = result.ok_value
        self._apply_page(page)
        if not self.healthy:
            self.healthy = True
            log_event("partition_regained", partition=self.partition)
        self._behind = self.next_offset < page.end
        if not self._behind:
            # An empty long poll reflects the log shortly before the response arrived;
            # the time of the request is a safe lower bound.
            self.current_as_of = max(self.current_as_of, started_at)
        return None

    def _record_failure(self, failure: StoreFailure) -> None:
        if self.healthy:
            self.healthy = False
            log_event("partition_lost", partition=self.partition, reason=failure.value)

    def _apply_page(self, page: LogPage) -> None:
        if page.first > self.next_offset and page.start >= page.first:
            log_event(
                "partition_records_expired",
                partition=self.partition,
                read_until=self.next_offset,
                first=page.first,
            )
            self.next_offset = page.start
        changed = False
        self.fold.orders.record_read_at_s = elapsed_s()
        for index, data in enumerate(page.records):
            if page.start + index == self.next_offset:
                changed |= self._apply_record(data)
        if changed:
            self.notify()

    def _apply_record(self, data: bytes) -> bool:
        unreadable_before = self._reader.unreadable
        record = self._reader.read(data)
        offset = self.next_offset
        self.next_offset += 1
        if self._reader.unreadable > unreadable_before:
            log_event("record_unreadable", partition=self.partition, offset=offset)
        if record is None:
            return False
        self.fold.orders.offset = offset
        try:
            self.fold.apply(record)
        except Exception as error:
            # All nodes skip the record, since the fold depends on the records only.
            log_failure(
                "step_record_failed",
                self.fold.apply,
                error,
                partition=self.partition,
                offset=offset,
            )
        return True

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        if now < self._expired_at + EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        retention_s = self.settings.bounds.status_retention_s
        self.fold.expire(unix_ms(), retention_s)
