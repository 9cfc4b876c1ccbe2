"""Run the dispatcher of one pool shard."""

import asyncio
import uuid
from typing import Protocol

import msgspec

from fulmarpulley_core.ids import AttemptId, ModelName, UpstreamId, Version, WorkId
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.pool.messages import (
    Action,
    AttemptFailed,
    AttemptFinished,
    AttemptProgress,
    CancelAttempt,
    DocumentChanged,
    Event,
    Finish,
    Order,
    PoolSettings,
    PoolView,
    Refuse,
    StartAttempt,
    Submit,
    Tick,
    VersionAnnounced,
    Withdraw,
)
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.peer import WorkPoll, WorkState, WorkSubmit

from ..background_tasks import BackgroundTasks
from ..errors import ErrorCode, build_refusal
from ..locator import shard_document
from ..observe.events import log_event
from ..observe.metrics import Metrics
from .announcements import AnnouncementQueue
from .attempts import AttemptRunner
from .pool_work import AttemptBuffer, PoolWork, WorkTable, to_work
from .upstream_monitors import UpstreamMonitors

IDLE_TICK_S = 1.0
CLOSE_UNUSED_PERIOD_S = 5.0


class RefuseUnstarted(msgspec.Struct, frozen=True):
    """Ask the home to refuse all work without a started attempt."""


class PoolContext(Protocol):
    """Define what a pool home needs from its node."""

    metrics: Metrics
    settings: PoolSettings

    def with_held_upstreams(self, document: ServiceDocument) -> ServiceDocument:
        """Return the document without the upstreams that another service holds."""

    def is_upstream_leaving(self, upstream: str) -> bool:
        """Tell whether the instance list marks an upstream as leaving."""

    async def fence(self, service: str, shard: int, at_least: int) -> int | None:
        """Return the fencing number of a pool, renewed if below `at_least`."""


class PoolHome:
    """Manage the dispatcher, work and upstream connections of one pool shard."""

    def __init__(
        self, document: ServiceDocument, shard: int, node: PoolContext, seed: int
    ) -> None:
        self.node = node
        self.service = document.name
        self.shard = shard
        self.document = node.with_held_upstreams(shard_document(document, shard))
        self.pool = Pool(self.document, with_unique_id_prefix(node.settings), seed)
        self.work_table = WorkTable()
        self.inbox: asyncio.Queue[Event | RefuseUnstarted] = asyncio.Queue()
        self.attempts = AttemptRunner(self.inbox.put_nowait, node.metrics)
        self.monitors = UpstreamMonitors(
            self.inbox.put_nowait,
            node.is_upstream_leaving,
            self._in_use,
            node.metrics,
        )
        self.tasks = BackgroundTasks()
        self.leaving = False
        self.min_fence = 0
        self.announcements = AnnouncementQueue(self.monitors, self.inbox.put_nowait)

    def start(self) -> None:
        """Start dispatching work."""
        self.monitors.update(self.document)
        self.tasks.supervise(self._run)
        self.tasks.supervise(self._close_unused)
        self.tasks.supervise(self.announcements.release)

    async def stop(self) -> None:
        """Cancel all attempts and close all connections."""
        await self.tasks.stop()
        await self.attempts.tasks.stop()
        await self.monitors.stop()

    @property
    def idle(self) -> bool:
        """Tell whether no work is in progress."""
        return not self.work_table.active

    def submit(self, message: WorkSubmit) -> WorkState:
        """Accept a work item; join one that was already submitted."""
        known = self.work_table.get(message.work_id)
        if known is not None:
            return known.progress.state(_resumed_token_count(message))
        if self.leaving:
            text = "the pool home is closing; submit to its successor"
            refused = build_refusal(ErrorCode.SHUTTING_DOWN, text)
            return WorkState(done=True, refusal=refused)
        now = asyncio.get_running_loop().time()
        work = PoolWork(message, now)
        self.work_table.add(work)
        self.inbox.put_nowait(Submit(to_work(message, now)))
        return work.progress.state(_resumed_token_count(message))

    async def poll(self, message: WorkPoll) -> WorkState:
        """Wait for more tokens of a work item."""
        work = self.work_table.get(message.work_id)
        if work is None:
            return WorkState(known=False)
        progress = work.progress
        return await progress.wait(message.have, message.wait_s, message.linger_s)

    def withdraw(self, work_id: str) -> None:
        """Cancel a work item, or drop it if it has already ended."""
        if WorkId(work_id) in self.work_table.active:
            self.inbox.put_nowait(Withdraw(WorkId(work_id)))
        else:
            self.work_table.forget(work_id)

    def change_document(self, document: ServiceDocument) -> None:
        """Apply a new document."""
        self.document = self.node.with_held_upstreams(
            shard_document(document, self.shard)
        )
        self.monitors.update(self.document)
        self.inbox.put_nowait(DocumentChanged(self.document))

    def announce(self, model: str, version: int) -> None:
        """Pass on a version that a trainer published."""
        self.announcements.add(VersionAnnounced(ModelName(model), Version(version)))

    def instance_list_changed(self) -> None:
        """Apply a change of the instance list without waiting for the next poll."""
        self.monitors.instance_list_changed()

    def leave(self) -> None:
        """Stop accepting work, and refuse work without a started attempt."""
        self.leaving = True
        self.inbox.put_nowait(RefuseUnstarted())

    def view(self) -> PoolView:
        """Return the state of the pool."""
        return self.pool.view()

    async def _run(self) -> None:
        while True:
            event = await self._next_event()
            try:
                if isinstance(event, RefuseUnstarted):
                    self._refuse_unstarted()
                else:
                    self._handle(event)
            except Exception as error:
                # A failure in one event must not stop the event loop of the pool.
                log_event("pool_event_failed", service=self.service, error=repr(error))

    def _handle(self, event: Event) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(event, AttemptProgress):
            event = self._with_latest_count(event)
        for action in self.pool.handle(event, now):
            self._run_action(action, now)
        if isinstance(event, AttemptFinished | AttemptFailed):
            self.attempts.buffers.pop(event.attempt_id, None)

    def _refuse_unstarted(self) -> None:
        # Called between two events, so no attempt can start in the meantime.
        for work in list(self.work_table.active.values()):
            if work.started_at is None:
                text = "the pool home is closing; submit to its successor"
                work.progress.refuse(build_refusal(ErrorCode.SHUTTING_DOWN, text))
                self._handle(Withdraw(WorkId(work.submit.work_id)))

    async def _next_event(self) -> Event | RefuseUnstarted:
        if not self.inbox.empty():
            return self.inbox.get_nowait()
        wakeup = self.pool.next_wakeup()
        now = asyncio.get_running_loop().time()
        wait = IDLE_TICK_S if wakeup is None else min(wakeup - now, IDLE_TICK_S)
        try:
            async with asyncio.timeout(max(wait, 0.001)):
                return await self.inbox.get()
        except TimeoutError:
            return Tick()

    def _with_latest_count(self, event: AttemptProgress) -> AttemptProgress:
        buffer = self.attempts.buffers.get(event.attempt_id)
        if buffer is None:
            return event
        buffer.progress_queued = False
        version = buffer.versions[-1] if buffer.versions else None
        newest = None if version is None else Version(version)
        return AttemptProgress(event.attempt_id, len(buffer.tokens), newest)

    def _run_action(self, action: Action, now: float) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(action, now)
        elif isinstance(action, CancelAttempt):
            self._cancel(action.attempt_id)
        elif isinstance(action, Order):
            self.tasks.spawn(self._send_order(action))
        elif isinstance(action, Finish):
            self._finish(action, now)
        else:
            self._refuse(action)

    def _start_attempt(self, action: StartAttempt, now: float) -> None:
        work = self.work_table.active[action.work_id]
        if work.started_at is None:
            work.started_at = now
            labels = {"service": self.service, "tenant": work.submit.tenant}
            self.node.metrics.queue_wait.observe(labels, now - work.submitted_at)
        buffer = AttemptBuffer(
            action.attempt_id, work, action.upstream, action.resume_from
        )
        if not action.hedge:
            work.lead_attempt_id = action.attempt_id
        dialect = self.monitors.dialect(action.upstream)
        self.attempts.start(buffer, dialect, self.document.stall_s)

    def _cancel(self, attempt_id: AttemptId) -> None:
        buffer = self.attempts.buffers.get(attempt_id)
        if buffer is not None:
            self.attempts.cancel(attempt_id, self.monitors.dialect(buffer.upstream))

    def _finish(self, action: Finish, now: float) -> None:
        work = self.work_table.active[action.work_id]
        self.attempts.buffers[action.attempt_id].publish_answer()
        self.work_table.end(work)
        work.record_metrics(self.node.metrics, now)
        log_event(
            "work_finished",
            service=self.service,
            work=action.work_id,
            upstream=work.progress.upstream,
            tokens=len(work.progress.tokens),
            seconds=now - work.submitted_at,
        )

    def _refuse(self, action: Refuse) -> None:
        work = self.work_table.active.get(action.work_id)
        if work is None:
            return
        message = f"the pool refused the request with code {action.code}"
        refused = build_refusal(
            ErrorCode(action.code), message, action.ran, action.retry_after
        )
        work.progress.refuse(refused)
        self.work_table.end(work)
        if action.code == ErrorCode.CANCELLED.value and action.ran is Ran.NOT_RUN:
            return
        log_event(
            "work_refused",
            service=self.service,
            work=action.work_id,
            outcome=action.code,
            ran=action.ran.value,
        )

    async def _send_order(self, order: Order) -> None:
        fence = await self.node.fence(self.service, self.shard, self.min_fence)
        newest = await self.monitors.send_order(order, fence)
        if newest is not None:
            self.min_fence = max(self.min_fence, newest)

    def _in_use(self, upstream: UpstreamId) -> bool:
        buffers = self.attempts.buffers.values()
        return any(buffer.upstream == upstream for buffer in buffers)

    async def _close_unused(self) -> None:
        while True:
            await asyncio.sleep(CLOSE_UNUSED_PERIOD_S)
            await self.monitors.close_unused()


def _resumed_token_count(message: WorkSubmit) -> int:
    return 0 if message.resume is None else len(message.resume.tokens)


def with_unique_id_prefix(settings: PoolSettings) -> PoolSettings:
    """Return the settings with an id prefix that is unique to one pool home."""
    # Two homes of a pool can run at the same time or in succession. Without the
    # prefix, an upstream could confuse their requests, cancellations and orders.
    return msgspec.structs.replace(settings, id_prefix=f"{uuid.uuid4().hex[:8]}-")
