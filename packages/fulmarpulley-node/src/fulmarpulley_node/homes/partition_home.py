"""Run the requests with keys of one partition."""

import asyncio
from collections import OrderedDict
from typing import Protocol

from msgspec.structs import replace
from result import Err

from fulmarpulley_core.claim_messages import (
    AppendClaim,
    ClaimDecision,
    KeyOf,
    OwnState,
    RefuseKey,
    ReturnAnswer,
    WaitForOutcome,
)
from fulmarpulley_core.ids import NodeId
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.peer import (
    KeyedPoll,
    KeyedSubmit,
    Refusal,
    WorkState,
)
from fulmarpulley_schema.generated.records import OutcomeKind

from ..errors import ErrorCode, refusal
from ..peers import PeerLinks
from ..platform.dialects import PlatformFailure
from ..progress import wait_event
from ..work_client import Delivery, WorkClient
from .claim_stream import ClaimStream
from .keyed import KeyedRequest, key_of, keyed_submission

# An own claim that is not read back by then is given up as not run.
READ_BACK_S = 5.0
HOLDER_WAIT_S = 1.0
CALL_DEADLINE_S = 2.5
RETRY_PAUSE_S = 0.1
# Ended requests whose entry has not read the end; answers are kept by the table.
ENDED_KEPT = 1024
_NOT_APPENDED = frozenset({PlatformFailure.UNAVAILABLE, PlatformFailure.RATE_LIMITED})
_OUTCOMES = {
    Ran.NOT_RUN.value: OutcomeKind.NOT_RUN,
    Ran.MAY_HAVE_RUN.value: OutcomeKind.MAY_HAVE_RUN,
    Ran.RAN.value: OutcomeKind.RAN,
}


class KeyedSurroundings(Protocol):
    """Define what a partition home asks of its node."""

    work: WorkClient
    peers: PeerLinks

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force."""


class PartitionHome:
    """Own the claims of a partition and the requests that run under them."""

    def __init__(self, stream: ClaimStream, node: KeyedSurroundings) -> None:
        self.stream = stream
        self.table = stream.table
        self.node = node
        self.active: dict[KeyOf, KeyedRequest] = {}
        self.ended: OrderedDict[KeyOf, KeyedRequest] = OrderedDict()
        self.deliveries: dict[KeyOf, Delivery] = {}

    @property
    def idle(self) -> bool:
        """Tell whether no request is in progress."""
        return not self.active

    def knows(self, service: str, key: str) -> bool:
        """Tell whether a request was submitted here."""
        wanted = key_of(service, key)
        return wanted in self.active or wanted in self.ended

    def forgettable(self) -> bool:
        """Tell whether nothing but the log holds what this home knows."""
        return self.idle and not self.table.own.claims and not self.stream.tasks_left()

    def submit(self, message: KeyedSubmit) -> WorkState:
        """Take a request; one in progress or with an answer is not run again."""
        key = key_of(message.service, message.key)
        request = KeyedRequest(key, message)
        known = self.active.get(key) or self.ended.get(key)
        if known is not None and known.message is not None:
            if known.fingerprint != request.fingerprint:
                text = "the key was used with another body; use a new key"
                return _refused(refusal(ErrorCode.KEY_REUSED, text))
            if known.progress.refusal is None:
                return known.progress.state(0)
        self._start(request)
        return request.progress.state(0)

    async def poll(self, message: KeyedPoll) -> WorkState:
        """Wait for the answer to a request."""
        key = key_of(message.service, message.key)
        known = self.active.get(key) or self.ended.get(key)
        if known is None:
            known = KeyedRequest(key, None)
            self._start(known)
        if message.cancel:
            await self._cancel(known)
        return await known.progress.wait(message.have, message.wait_s, message.linger_s)

    async def poll_holder(self, message: KeyedPoll) -> WorkState:
        """Answer a partition home that asks this node for a claim it holds."""
        key = key_of(message.service, message.key)
        active = self.active.get(key)
        if active is not None and active.claim_id == message.claim_id:
            return await active.progress.wait(
                message.have, message.wait_s, message.linger_s
            )
        own = self.table.own.get(message.claim_id)
        if own is None:
            return WorkState(known=False)
        if own.answer is not None:
            request = KeyedRequest(key, None)
            request.restore(own.answer)
            return request.progress.state(0)
        return WorkState()

    def _start(self, request: KeyedRequest) -> None:
        self.ended.pop(request.key, None)
        self.active[request.key] = request
        request.task = self.stream.tasks.spawn(self._run(request))

    async def _run(self, request: KeyedRequest) -> None:
        try:
            await self._read_first(request)
            while not request.progress.done:
                await self._step(request, self._decide(request))
        finally:
            if self.active.get(request.key) is request:
                del self.active[request.key]
                self._keep_end(request)

    def _keep_end(self, request: KeyedRequest) -> None:
        self.ended[request.key] = request
        if len(self.ended) > ENDED_KEPT:
            self.ended.popitem(last=False)

    async def _read_first(self, request: KeyedRequest) -> None:
        # A repeatable request runs without the log; the others see it by its failure.
        if request.message is None:
            await self.stream.refresh()
        else:
            await wait_event(self.stream.caught_up, HOLDER_WAIT_S)

    def _decide(self, request: KeyedRequest) -> ClaimDecision:
        if request.message is None:
            return self.table.fetch(request.key)
        return self.table.request(
            request.key, request.fingerprint, request.message.repeatable
        )

    async def _step(self, request: KeyedRequest, decision: ClaimDecision) -> None:
        if isinstance(decision, AppendClaim):
            await self._claim(request, decision)
        elif isinstance(decision, WaitForOutcome):
            await self._wait(request, decision)
        elif isinstance(decision, ReturnAnswer):
            request.restore(decision.answer)
        else:
            request.progress.refuse(_key_refusal(decision))

    async def _claim(self, request: KeyedRequest, decision: AppendClaim) -> None:
        entry = decision.entry
        request.claim_id = entry.claim_id
        if decision.run_at_once:
            self.stream.tasks.spawn(
                self.stream.log.append_claim(self.stream.name, entry)
            )
            await self._deliver(request)
            return
        done = await self.stream.log.append_claim(self.stream.name, entry)
        if isinstance(done, Err) and done.err_value in _NOT_APPENDED:
            self.table.cancel_append(entry.claim_id)
            text = f"the log takes no claims ({done.err_value.value})"
            request.progress.refuse(refusal(ErrorCode.LOG_UNAVAILABLE, text))
            return
        await self._await_claim(request)

    async def _await_claim(self, request: KeyedRequest) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(READ_BACK_S, request.remaining_s())
        while True:
            refused = self.stream.refused.pop(request.claim_id, None)
            if refused is not None:
                request.progress.refuse(_key_refusal(refused))
                return
            own = self.table.own.get(request.claim_id)
            if own is None:
                return
            if own.state is OwnState.WON and not request.cancelled:
                await self._begin(request)
                return
            if loop.time() >= deadline or request.cancelled:
                self._abandon(request)
                return
            changed = self.stream.changed(request.key)
            await wait_event(changed, min(0.25, deadline - loop.time()))

    async def _begin(self, request: KeyedRequest) -> None:
        if self.table.begin(request.claim_id):
            await self._deliver(request)
            return
        ended = self.table.abandon(request.claim_id)
        if ended.record is not None:
            self.stream.record(ended.record)
        expired = RefuseKey(ErrorCode.KEY_EXPIRED.value, Ran.MAY_HAVE_RUN)
        request.progress.refuse(_key_refusal(expired))

    def _abandon(self, request: KeyedRequest) -> None:
        ended = self.table.abandon(request.claim_id)
        if ended.record is not None:
            self.stream.record(ended.record)
        code = ErrorCode.LOG_UNAVAILABLE
        if request.cancelled:
            code = ErrorCode.CANCELLED
        elif request.remaining_s() <= 0:
            code = ErrorCode.DEADLINE_PASSED
        text = "the claim was not read back from the log in time"
        request.progress.refuse(refusal(code, text, ended.ran))

    async def _deliver(self, request: KeyedRequest) -> None:
        message = request.message
        document = self.node.document(request.key.service)
        if message is None or document is None:
            text = "the document of the service is gone"
            self._end(request, refusal(ErrorCode.UNKNOWN_SERVICE, text))
            return
        submit = keyed_submission(document, request, message)
        delivery = Delivery(self.node.work, submit, request.progress)
        self.deliveries[request.key] = delivery
        try:
            await self.node.work.follow(delivery)
        finally:
            self.deliveries.pop(request.key, None)
        # No await since the progress ended, so nobody has read the end yet.
        self._end(request, request.progress.refusal)

    def _end(self, request: KeyedRequest, refused: Refusal | None) -> None:
        if refused is None:
            ended = self.table.finish(
                request.claim_id, OutcomeKind.ANSWERED, request.stored()
            )
        else:
            ended = self.table.finish(request.claim_id, _OUTCOMES[refused.ran])
        if ended.record is not None:
            self.stream.record(ended.record)
        if refused is not None:
            request.progress.correct(replace(refused, ran=ended.ran.value))

    async def _wait(self, request: KeyedRequest, decision: WaitForOutcome) -> None:
        changed = self.stream.changed(request.key)
        if request.message is not None and request.remaining_s() <= 0:
            text = "the request is still in progress at the holder of its claim"
            refused = refusal(ErrorCode.DEADLINE_PASSED, text, Ran.MAY_HAVE_RUN)
            request.progress.refuse(refused)
        elif decision.holder == self.table.node_id:
            await wait_event(changed, HOLDER_WAIT_S)
        else:
            await self._ask_holder(request, decision.holder, decision.claim_id)
            if not request.progress.done:
                await wait_event(changed, RETRY_PAUSE_S)

    async def _ask_holder(
        self, request: KeyedRequest, holder: NodeId, claim_id: str
    ) -> None:
        message = KeyedPoll(
            service=request.key.service,
            key=request.key.key,
            claim_id=claim_id,
            have=len(request.progress.tokens),
            wait_s=HOLDER_WAIT_S,
        )
        state = await self.node.work.fetch(holder, message)
        if state is None:
            return
        if not state.known:
            self.stream.orphan(request.key, claim_id)
        else:
            request.progress.take_state(state)

    async def _cancel(self, request: KeyedRequest) -> None:
        request.cancelled = True
        delivery = self.deliveries.get(request.key)
        if delivery is not None and delivery.home is not None:
            self.node.work.withdraw(delivery.submit, delivery.home)


def _key_refusal(refused: RefuseKey) -> Refusal:
    code = ErrorCode(refused.code)
    return refusal(code, _TEXTS.get(code, refused.code), refused.ran)


def _refused(refused: Refusal) -> WorkState:
    return WorkState(done=True, refusal=refused)


_TEXTS = {
    ErrorCode.BAD_REQUEST: "the key was not issued by this service; ask for a key",
    ErrorCode.KEY_REUSED: "the key was used with another body; use a new key",
    ErrorCode.KEY_EXPIRED: "the key is older than the records of the log",
    ErrorCode.UNKNOWN_KEY: "no request with this key is known",
    ErrorCode.UPSTREAM_BROKEN: "the holder of the request was lost",
    ErrorCode.UPSTREAM_ERROR: "the request ran, but its answer is lost",
    ErrorCode.LOG_UNAVAILABLE: "the claims of the key cannot be read",
}
