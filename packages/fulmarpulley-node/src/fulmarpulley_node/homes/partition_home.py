"""Run the requests with idempotency keys of one partition."""

from collections import OrderedDict
from typing import Protocol

from fulmarpulley_core.claim_messages import (
    AppendClaim,
    ClaimDecision,
    ReturnAnswer,
    ServiceKey,
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

from ..errors import ErrorCode, build_refusal
from ..observe.events import log_event
from ..peers import PeerLinks
from ..progress import wait_event
from ..work_client import WorkClient
from .claim_runner import ClaimRunner
from .claim_stream import ClaimStream
from .key_refusals import key_refusal
from .keyed_request import KeyedRequest, key_of

HOLDER_WAIT_S = 1.0
MAX_FETCH_AGE_S = 30.0
CALL_DEADLINE_S = 2.5
RETRY_PAUSE_S = 0.1
# Ended requests kept for late polls; the claim table keeps the answers.
MAX_ENDED_REQUESTS = 1024


class PartitionContext(Protocol):
    """Define what a partition home needs from its node."""

    work_client: WorkClient
    peers: PeerLinks

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force."""


class PartitionHome:
    """Manage the claims of a partition and the requests that run under them."""

    def __init__(self, stream: ClaimStream, node: PartitionContext) -> None:
        self.stream = stream
        self.table = stream.table
        self.node = node
        self.active: dict[ServiceKey, KeyedRequest] = {}
        self.ended: OrderedDict[ServiceKey, KeyedRequest] = OrderedDict()
        self.runner = ClaimRunner(stream, node.work_client, node.document)

    @property
    def idle(self) -> bool:
        """Tell whether no request is in progress."""
        return not self.active

    def has_request(self, service: str, key: str) -> bool:
        """Tell whether a request with this key is in progress or recently ended."""
        service_key = key_of(service, key)
        return service_key in self.active or service_key in self.ended

    def can_close(self) -> bool:
        """Tell whether the log holds all state of this home."""
        return (
            self.idle
            and not self.table.own.claims
            and not self.stream.has_pending_tasks()
        )

    def submit(self, message: KeyedSubmit) -> WorkState:
        """Accept a request; join one that is in progress or already answered."""
        key = key_of(message.service, message.key)
        request = KeyedRequest(key, message)
        known = self.active.get(key) or self.ended.get(key)
        if known is not None and known.message is not None:
            if known.fingerprint != request.fingerprint:
                text = "the key was used with another request body; use a new key"
                return _refused(build_refusal(ErrorCode.KEY_REUSED, text))
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
        if known.message is None:
            await wait_event(known.claims_checked, HOLDER_WAIT_S)
        if message.cancel:
            await self._cancel(known)
        return await known.progress.wait(message.have, message.wait_s, message.linger_s)

    async def poll_as_holder(self, message: KeyedPoll) -> WorkState:
        """Answer a poll by a partition home for a claim that this node holds."""
        key = key_of(message.service, message.key)
        active = self.active.get(key)
        if active is not None and active.claim_id == message.claim_id:
            if message.cancel:
                await self._cancel(active)
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
            await self._wait_for_claims(request)
            while not request.progress.done:
                decision = self._decide(request)
                if isinstance(decision, WaitForOutcome):
                    request.claims_checked.set()
                await self._apply_decision(request, decision)
        except Exception as error:
            log_event("keyed_request_failed", key=request.key.key, error=repr(error))
            text = "the node failed to handle the request"
            request.progress.refuse(build_refusal(ErrorCode.UPSTREAM_BROKEN, text))
        finally:
            request.claims_checked.set()
            if self.active.get(request.key) is request:
                del self.active[request.key]
                self._remember_ended(request)

    def _remember_ended(self, request: KeyedRequest) -> None:
        self.ended[request.key] = request
        if len(self.ended) > MAX_ENDED_REQUESTS:
            self.ended.popitem(last=False)

    async def _wait_for_claims(self, request: KeyedRequest) -> None:
        # After a time-out, a repeatable request runs without the log; others detect the
        # outage when their append fails.
        if request.message is None:
            await self.stream.read_to_end()
        else:
            await wait_event(self.stream.caught_up, HOLDER_WAIT_S)

    def _decide(self, request: KeyedRequest) -> ClaimDecision:
        if request.message is None:
            return self.table.fetch(request.key)
        return self.table.request(
            request.key, request.fingerprint, request.message.repeatable
        )

    async def _apply_decision(
        self, request: KeyedRequest, decision: ClaimDecision
    ) -> None:
        if isinstance(decision, AppendClaim):
            await self.runner.claim(request, decision)
        elif isinstance(decision, WaitForOutcome):
            await self._wait_for_outcome(request, decision)
        elif isinstance(decision, ReturnAnswer):
            request.restore(decision.answer)
        else:
            request.progress.refuse(key_refusal(decision))

    async def _wait_for_outcome(
        self, request: KeyedRequest, decision: WaitForOutcome
    ) -> None:
        change_event = self.stream.change_event(request.key)
        if self._wait_limit_reached(request):
            text = "the request is still in progress at the node that holds its claim"
            refused = build_refusal(ErrorCode.DEADLINE_PASSED, text, Ran.MAY_HAVE_RUN)
            request.progress.refuse(refused)
        elif decision.holder == self.table.node_id:
            await wait_event(change_event, HOLDER_WAIT_S)
        else:
            await self._ask_holder(request, decision.holder, decision.claim_id)
            if not request.progress.done:
                await wait_event(change_event, RETRY_PAUSE_S)

    def _wait_limit_reached(self, request: KeyedRequest) -> bool:
        if request.message is not None:
            return request.remaining_s() <= 0
        # The poller may be gone; a later fetch creates a new entry.
        return request.age_s() >= MAX_FETCH_AGE_S

    async def _ask_holder(
        self, request: KeyedRequest, holder: NodeId, claim_id: str
    ) -> None:
        message = KeyedPoll(
            service=request.key.service,
            key=request.key.key,
            claim_id=claim_id,
            have=len(request.progress.tokens),
            wait_s=HOLDER_WAIT_S,
            cancel=request.cancelled,
        )
        state = await self.node.work_client.fetch(holder, message)
        if state is None:
            return
        if not state.known:
            self.stream.mark_holder_gone(request.key, claim_id)
        else:
            request.progress.apply_state(state)

    async def _cancel(self, request: KeyedRequest) -> None:
        request.cancelled = True
        delivery = self.runner.deliveries.get(request.key)
        if delivery is not None and delivery.home is not None:
            self.node.work_client.withdraw(delivery.submit, delivery.home)


def _refused(refused: Refusal) -> WorkState:
    return WorkState(done=True, refusal=refused)
