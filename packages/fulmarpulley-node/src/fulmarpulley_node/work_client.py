"""Submit work items to pool homes and resubmit them when a home is lost."""

import asyncio

from msgspec.structs import replace
from result import Err

from fulmarpulley_core.ids import NodeId
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.peer import (
    KeyedPoll,
    MessageKind,
    Refusal,
    WorkPoll,
    WorkState,
    WorkSubmit,
    WorkWithdraw,
)

from .background_tasks import BackgroundTasks
from .configuration import Configuration
from .errors import ErrorCode, build_refusal
from .locator import Locator
from .members import Members
from .observe.events import log_event
from .peers import PeerError, PeerLinks
from .progress import Progress
from .versions import EmptyReply

# Long waits are safe: links are pinged while a poll waits, so a loss is noticed.
POLL_WAIT_S = 30.0
CALL_DEADLINE_S = 2.5
RETRY_PAUSE_S = 0.1
# After the deadline, the owner waits this long for the result from the pool home.
DEADLINE_GRACE_S = 1.0
# Codes of a home that did not accept the work, which another home may accept.
_DECLINED_CODES = frozenset({"shutting_down", "not_ready"})


class Delivery:
    """Deliver one work item to its pool home and poll it until it ends."""

    def __init__(
        self, client: "WorkClient", submit: WorkSubmit, progress: Progress
    ) -> None:
        self.client = client
        self.submit = submit
        self.progress = progress
        self.linger_s = 0.02
        self.sent = False
        self.home: NodeId | None = None
        self.started_at = asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Submit and poll until the work has ended, at a new home if necessary."""
        while not self.progress.done:
            if self._deadline_exceeded():
                self._refuse(ErrorCode.DEADLINE_PASSED, "the deadline has passed")
                return
            home = self._current_home()
            if home is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self.home = home
            if await self._submit(home):
                await self._follow(home)
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _submit(self, home: NodeId) -> bool:
        """Submit the work; return False if the home certainly did not accept it."""
        resume = self.progress.snapshot() if self.progress.tokens else None
        message = replace(self.submit, resume=resume, deadline_s=self._remaining_s())
        result = await self.client.peers.call(
            home, MessageKind.SUBMIT, message, WorkState, CALL_DEADLINE_S
        )
        if isinstance(result, Err):
            self.sent = self.sent or result.err_value is not PeerError.NOT_SENT
            return result.err_value is not PeerError.NOT_SENT
        if self._declined(result.ok_value):
            return False
        self.sent = True
        self.progress.apply_state(result.ok_value)
        return True

    async def _follow(self, home: NodeId) -> None:
        while not self.progress.done and not self._deadline_exceeded():
            poll = self._poll()
            deadline_s = poll.wait_s + poll.linger_s + CALL_DEADLINE_S
            result = await self.client.peers.call(
                home, MessageKind.PROGRESS, poll, WorkState, deadline_s
            )
            if isinstance(result, Err):
                if self._should_abandon_home(home):
                    return
                await asyncio.sleep(RETRY_PAUSE_S)
            elif not result.ok_value.known:
                self._handle_unknown_work(home)
                return
            elif self._declined(result.ok_value):
                return
            else:
                self.progress.apply_state(result.ok_value)

    def _poll(self) -> WorkPoll:
        return WorkPoll(
            service=self.submit.service,
            shard=self.submit.shard,
            work_id=self.submit.work_id,
            have=len(self.progress.tokens),
            wait_s=self._wait_s(),
            linger_s=self.linger_s,
        )

    def _wait_s(self) -> float:
        remaining = self._remaining_s()
        return POLL_WAIT_S if remaining is None else min(POLL_WAIT_S, remaining + 0.5)

    def _declined(self, state: WorkState) -> bool:
        # The home is starting or shutting down and did not run the work.
        refused = state.refusal
        if refused is None or refused.code not in _DECLINED_CODES:
            return False
        if refused.ran != Ran.NOT_RUN.value:
            return False
        self.sent = False
        return True

    def _should_abandon_home(self, home: NodeId) -> bool:
        """Tell whether to abandon the home; non-repeatable work then fails."""
        gone = self.client.members.is_dead_or_unknown(home)
        moved = self._current_home() != home
        if self.submit.repeatable:
            if gone or moved:
                log_event("pool_home_lost", work=self.submit.work_id, home=home)
            return gone or moved
        if gone:
            self._refuse_as_broken("the pool home was lost")
        return gone

    def _handle_unknown_work(self, home: NodeId) -> None:
        if not self.submit.repeatable:
            self._refuse_as_broken("the pool home no longer knows the request")
        log_event("work_resubmitted", work=self.submit.work_id, home=home)

    def _current_home(self) -> NodeId | None:
        document = self.client.configuration.document(self.submit.service)
        if document is None:
            return None
        return self.client.locator.pool_home(document, self.submit.shard)

    def _remaining_s(self) -> float | None:
        if self.submit.deadline_s is None:
            return None
        now = asyncio.get_running_loop().time()
        return max(0.0, self.started_at + self.submit.deadline_s - now)

    def _deadline_exceeded(self) -> bool:
        if self.submit.deadline_s is None:
            return False
        limit = self.submit.deadline_s + (DEADLINE_GRACE_S if self.sent else 0.0)
        return asyncio.get_running_loop().time() - self.started_at >= limit

    def _refuse_as_broken(self, message: str) -> None:
        self.progress.refuse(
            build_refusal(ErrorCode.UPSTREAM_BROKEN, message, Ran.MAY_HAVE_RUN)
        )

    def _refuse(self, code: ErrorCode, message: str) -> None:
        ran = Ran.MAY_HAVE_RUN if self.sent else Ran.NOT_RUN
        self.progress.refuse(build_refusal(code, message, ran))


class WorkClient:
    """Submit work to pool homes on behalf of its owner."""

    def __init__(
        self,
        peers: PeerLinks,
        members: Members,
        configuration: Configuration,
        locator: Locator,
    ) -> None:
        self.peers = peers
        self.members = members
        self.configuration = configuration
        self.locator = locator
        self.tasks = BackgroundTasks()

    async def run(
        self, submit: WorkSubmit, progress: Progress, linger_s: float = 0.02
    ) -> Refusal | None:
        """Run a work item until it ends; cancelling the call withdraws it."""
        delivery = Delivery(self, submit, progress)
        delivery.linger_s = linger_s
        await self.follow(delivery)
        return progress.refusal

    async def follow(self, delivery: "Delivery") -> None:
        """Run a delivery until it ends; cancelling the call withdraws it."""
        try:
            await delivery.run()
        finally:
            # After an answer too: it lets the home drop the ended work.
            if delivery.home is not None:
                self.withdraw(delivery.submit, delivery.home)

    async def fetch(self, node: NodeId, message: KeyedPoll) -> WorkState | None:
        """Poll a node for the state of a keyed request; return None without a reply."""
        result = await self.peers.call(
            node, MessageKind.FETCH, message, WorkState, CALL_DEADLINE_S
        )
        return None if isinstance(result, Err) else result.ok_value

    def withdraw(self, submit: WorkSubmit, home: NodeId) -> None:
        """Tell the pool home that a work item is no longer needed."""
        message = WorkWithdraw(
            service=submit.service, shard=submit.shard, work_id=submit.work_id
        )
        call = self.peers.call(
            home, MessageKind.WITHDRAW, message, EmptyReply, CALL_DEADLINE_S
        )
        self.tasks.spawn(call)
