"""Claim requests that carry an idempotency key, and run those whose claim wins."""

import asyncio
from collections.abc import Callable

from msgspec.structs import replace
from result import Err

from fulmarpulley_core.claim_messages import (
    AppendClaim,
    OwnClaimState,
    RefuseKey,
    ServiceKey,
)
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.peer import Refusal
from fulmarpulley_schema.generated.records import OutcomeKind

from ..errors import ErrorCode, build_refusal
from ..progress import wait_event
from ..services.dialects import PlatformFailure
from ..work_client import Delivery, WorkClient
from .claim_stream import ClaimStream
from .key_refusals import key_refusal
from .keyed_request import KeyedRequest, keyed_submission

# A claim that is not read back within this time is abandoned without a run.
CLAIM_READ_BACK_TIMEOUT_S = 5.0
CLAIM_CHECK_PERIOD_S = 0.25
_NOT_APPENDED = frozenset({PlatformFailure.UNAVAILABLE, PlatformFailure.RATE_LIMITED})
_OUTCOMES = {
    Ran.NOT_RUN.value: OutcomeKind.NOT_RUN,
    Ran.MAY_HAVE_RUN.value: OutcomeKind.MAY_HAVE_RUN,
    Ran.RAN.value: OutcomeKind.RAN,
}


class ClaimRunner:
    """Append claims for one partition and deliver the claimed requests to pools."""

    def __init__(
        self,
        stream: ClaimStream,
        work_client: WorkClient,
        document: Callable[[str], ServiceDocument | None],
    ) -> None:
        self.stream = stream
        self.table = stream.table
        self.work_client = work_client
        self.document = document
        self.deliveries: dict[ServiceKey, Delivery] = {}

    async def claim(self, request: KeyedRequest, decision: AppendClaim) -> None:
        """Append the claim of a request and run the request if the claim wins."""
        entry = decision.entry
        request.claim_id = entry.claim_id
        if decision.run_immediately:
            self.stream.tasks.spawn(
                self.stream.log.append_claim(self.stream.name, entry)
            )
            await self._deliver(request)
            return
        result = await self.stream.log.append_claim(self.stream.name, entry)
        if isinstance(result, Err) and result.err_value in _NOT_APPENDED:
            self.table.cancel_append(entry.claim_id)
            text = f"the log does not accept claims ({result.err_value.value})"
            code, ran = ErrorCode.LOG_UNAVAILABLE, self._ran_if_unclaimed()
            request.progress.refuse(build_refusal(code, text, ran))
            return
        await self._wait_for_claim(request)

    async def _wait_for_claim(self, request: KeyedRequest) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + min(CLAIM_READ_BACK_TIMEOUT_S, request.remaining_s())
        while True:
            refused = self.stream.refusals.pop(request.claim_id, None)
            if refused is not None:
                request.progress.refuse(key_refusal(refused))
                return
            own = self.table.own.get(request.claim_id)
            if own is None:
                return
            if own.state is OwnClaimState.WON and not request.cancelled:
                await self._run_claimed(request)
                return
            if loop.time() >= deadline or request.cancelled:
                self._abandon(request)
                return
            change_event = self.stream.change_event(request.key)
            await wait_event(
                change_event, min(CLAIM_CHECK_PERIOD_S, deadline - loop.time())
            )

    async def _run_claimed(self, request: KeyedRequest) -> None:
        if self.table.begin(request.claim_id):
            await self._deliver(request)
            return
        ended = self.table.abandon(request.claim_id)
        if ended.record is not None:
            self.stream.append_outcome(ended.record)
        expired = RefuseKey(ErrorCode.KEY_EXPIRED.value, Ran.MAY_HAVE_RUN)
        request.progress.refuse(key_refusal(expired))

    def _abandon(self, request: KeyedRequest) -> None:
        ended = self.table.abandon(request.claim_id)
        if ended.record is not None:
            self.stream.append_outcome(ended.record)
        code = ErrorCode.LOG_UNAVAILABLE
        if request.cancelled:
            code = ErrorCode.CANCELLED
        elif request.remaining_s() <= 0:
            code = ErrorCode.DEADLINE_PASSED
        text = "the claim was not read back from the log in time"
        ran = ended.ran
        if ran is Ran.NOT_RUN:
            ran = self._ran_if_unclaimed()
        request.progress.refuse(build_refusal(code, text, ran))

    def _ran_if_unclaimed(self) -> Ran:
        # Before the stream has been read to its end, it may contain a claim by an
        # earlier home under which the same request ran.
        read = self.stream.caught_up.is_set()
        return Ran.NOT_RUN if read else Ran.MAY_HAVE_RUN

    async def _deliver(self, request: KeyedRequest) -> None:
        message = request.message
        document = self.document(request.key.service)
        if message is None or document is None:
            text = "the service has no document any more"
            self._end(request, build_refusal(ErrorCode.UNKNOWN_SERVICE, text))
            return
        submit = keyed_submission(document, request, message)
        delivery = Delivery(self.work_client, submit, request.progress)
        self.deliveries[request.key] = delivery
        try:
            await self.work_client.follow(delivery)
        finally:
            self.deliveries.pop(request.key, None)
        # Nothing was awaited since the progress ended, so no reader has seen its end.
        self._end(request, request.progress.refusal)

    def _end(self, request: KeyedRequest, refused: Refusal | None) -> None:
        if refused is None:
            ended = self.table.finish(
                request.claim_id, OutcomeKind.ANSWERED, request.to_stored()
            )
        else:
            ended = self.table.finish(request.claim_id, _OUTCOMES[refused.ran])
        if ended.record is not None:
            self.stream.append_outcome(ended.record)
        if refused is not None:
            request.progress.override_refusal(replace(refused, ran=ended.ran.value))
