"""Drive the dispatcher of one pool shard."""

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

from ..errors import ErrorCode, refusal
from ..locate import shard_document
from ..observe.events import log_event
from ..observe.metrics import Metrics
from ..tasks import TaskGroup
from .announcements import Announcements
from .attempts import AttemptRunner
from .pool_work import AttemptBuffer, PoolWork, WorkTable, to_work
from .watches import Watches

IDLE_TICK_S = 1.0
CLOSE_UNUSED_S = 5.0


class Leave(msgspec.Struct, frozen=True):
    """Ask the home to give back the work that no upstream has started."""


class HomeContext(Protocol):
    """Define what a pool home asks of its node."""

    metrics: Metrics
    settings: PoolSettings

    def held(self, document: ServiceDocument) -> ServiceDocument:
        """Return the document with the upstreams that its service holds."""

    def upstream_leaving(self, upstream: str) -> bool:
        """Tell whether the instance list says that an upstream leaves."""

    async def fence(self, service: str, shard: int, above: int) -> int | None:
        """Return the fencing number of a pool, or None without the log."""


class PoolHome:
    """Own the dispatcher, work and upstream connections of one pool shard."""

    def __init__(
        self, document: ServiceDocument, shard: int, node: HomeContext, seed: int
    ) -> None:
        self.node = node
        self.service = document.name
        self.shard = shard
        self.document = node.held(shard_document(document, shard))
        self.pool = Pool(self.document, own_settings(node.settings), seed)
        self.works = WorkTable()
        self.inbox: asyncio.Queue[Event | Leave] = asyncio.Queue()
        self.attempts = AttemptRunner(self.inbox.put_nowait, node.metrics)
        self.watches = Watches(
            self.inbox.put_nowait,
            node.upstream_leaving,
            self._in_use,
            node.metrics,
        )
        self.tasks = TaskGroup()
        self.leaving = False
        self.fence_above = 0
        self.announcements = Announcements(self.watches, self.inbox.put_nowait)

    def start(self) -> None:
        """Start to dispatch."""
        self.watches.update(self.document)
        self.tasks.spawn(self._run())
        self.tasks.spawn(self._close_unused())
        self.tasks.spawn(self.announcements.release())

    async def stop(self) -> None:
        """Cut all attempts and close all connections."""
        await self.tasks.stop()
        await self.attempts.tasks.stop()
        await self.watches.stop()

    @property
    def idle(self) -> bool:
        """Tell whether no work is in progress."""
        return not self.works.active

    def submit(self, message: WorkSubmit) -> WorkState:
        """Take a work item; a known one is not run again."""
        known = self.works.get(message.work_id)
        if known is not None:
            return known.progress.state(_held(message))
        if self.leaving:
            text = "the pool home is leaving; submit to the next one"
            refused = refusal(ErrorCode.SHUTTING_DOWN, text)
            return WorkState(done=True, refusal=refused)
        now = asyncio.get_running_loop().time()
        work = PoolWork(message, now)
        self.works.add(work)
        self.inbox.put_nowait(Submit(to_work(message, now)))
        return work.progress.state(_held(message))

    async def poll(self, message: WorkPoll) -> WorkState:
        """Wait for more tokens of a work item."""
        work = self.works.get(message.work_id)
        if work is None:
            return WorkState(known=False)
        progress = work.progress
        return await progress.wait(message.have, message.wait_s, message.linger_s)

    def withdraw(self, work_id: str) -> None:
        """Stop a work item that nobody waits for, or forget its end."""
        if WorkId(work_id) in self.works.active:
            self.inbox.put_nowait(Withdraw(WorkId(work_id)))
        else:
            self.works.forget(work_id)

    def change_document(self, document: ServiceDocument) -> None:
        """Put a new document in force."""
        self.document = self.node.held(shard_document(document, self.shard))
        self.watches.update(self.document)
        self.inbox.put_nowait(DocumentChanged(self.document))

    def announce(self, model: str, version: int) -> None:
        """Take a version that a trainer published."""
        self.announcements.add(VersionAnnounced(ModelName(model), Version(version)))

    def list_changed(self) -> None:
        """Take a change of the instance list at once."""
        self.watches.list_changed()

    def leave(self) -> None:
        """Stop taking work, and give back work that no upstream has started."""
        self.leaving = True
        self.inbox.put_nowait(Leave())

    def view(self) -> PoolView:
        """Return the state of the pool."""
        return self.pool.view()

    async def _run(self) -> None:
        while True:
            event = await self._next_event()
            try:
                if isinstance(event, Leave):
                    self._give_back()
                else:
                    self._handle(event)
            except Exception as fault:
                # One faulty event must not end the work of the whole pool.
                log_event("pool_event_failed", service=self.service, error=repr(fault))

    def _handle(self, event: Event) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(event, AttemptProgress):
            event = self._newest(event)
        for action in self.pool.handle(event, now):
            self._act(action, now)
        if isinstance(event, AttemptFinished | AttemptFailed):
            self.attempts.buffers.pop(event.attempt_id, None)

    def _give_back(self) -> None:
        # Runs between two events, so that no attempt can start in the meantime.
        for work in list(self.works.active.values()):
            if work.started is None:
                text = "the pool home is leaving; submit to the next one"
                work.progress.refuse(refusal(ErrorCode.SHUTTING_DOWN, text))
                self._handle(Withdraw(WorkId(work.submit.work_id)))

    async def _next_event(self) -> Event | Leave:
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

    def _newest(self, event: AttemptProgress) -> AttemptProgress:
        buffer = self.attempts.buffers.get(event.attempt_id)
        if buffer is None:
            return event
        buffer.reported = False
        version = buffer.versions[-1] if buffer.versions else None
        newest = None if version is None else Version(version)
        return AttemptProgress(event.attempt_id, len(buffer.tokens), newest)

    def _act(self, action: Action, now: float) -> None:
        if isinstance(action, StartAttempt):
            self._start_attempt(action, now)
        elif isinstance(action, CancelAttempt):
            self._cancel(action.attempt_id)
        elif isinstance(action, Order):
            self.tasks.spawn(self._order(action))
        elif isinstance(action, Finish):
            self._finish(action, now)
        else:
            self._refuse(action)

    def _start_attempt(self, action: StartAttempt, now: float) -> None:
        work = self.works.active[action.work_id]
        if work.started is None:
            work.started = now
            labels = {"service": self.service, "tenant": work.submit.tenant}
            self.node.metrics.queue_wait.observe(labels, now - work.submitted)
        buffer = AttemptBuffer(
            action.attempt_id, work, action.upstream, action.resume_from
        )
        if not action.hedge:
            work.lead = action.attempt_id
        dialect = self.watches.dialect(action.upstream)
        self.attempts.start(buffer, dialect, self.document.stall_s)

    def _cancel(self, attempt_id: AttemptId) -> None:
        buffer = self.attempts.buffers.get(attempt_id)
        if buffer is not None:
            self.attempts.cancel(attempt_id, self.watches.dialect(buffer.upstream))

    def _finish(self, action: Finish, now: float) -> None:
        work = self.works.active[action.work_id]
        self.attempts.buffers[action.attempt_id].win()
        self.works.end(work)
        work.measure(self.node.metrics, now)
        log_event(
            "work_finished",
            service=self.service,
            work=action.work_id,
            upstream=work.progress.upstream,
            tokens=len(work.progress.tokens),
            seconds=now - work.submitted,
        )

    def _refuse(self, action: Refuse) -> None:
        work = self.works.active.get(action.work_id)
        if work is None:
            return
        message = f"the pool refused the request: {action.code}"
        refused = refusal(
            ErrorCode(action.code), message, action.ran, action.retry_after
        )
        work.progress.refuse(refused)
        self.works.end(work)
        if action.code == ErrorCode.CANCELLED.value and action.ran is Ran.NOT_RUN:
            return
        log_event(
            "work_refused",
            service=self.service,
            work=action.work_id,
            outcome=action.code,
            ran=action.ran.value,
        )

    async def _order(self, order: Order) -> None:
        fence = await self.node.fence(self.service, self.shard, self.fence_above)
        newest = await self.watches.order(order, fence)
        if newest is not None:
            self.fence_above = max(self.fence_above, newest)

    def _in_use(self, upstream: UpstreamId) -> bool:
        buffers = self.attempts.buffers.values()
        return any(buffer.upstream == upstream for buffer in buffers)

    async def _close_unused(self) -> None:
        while True:
            await asyncio.sleep(CLOSE_UNUSED_S)
            await self.watches.close_unused()


def _held(message: WorkSubmit) -> int:
    return 0 if message.resume is None else len(message.resume.tokens)


def own_settings(settings: PoolSettings) -> PoolSettings:
    """Return settings under which no other home makes the same ids."""
    # Two homes of one pool can run at a time, and one follows another. An upstream
    # must not take a request, cancellation or order of one for that of the other.
    return msgspec.structs.replace(settings, id_prefix=f"{uuid.uuid4().hex[:8]}-")
