"""Serve the HTTP API for trainers."""

import asyncio

import msgspec
from aiohttp import web
from msgspec.structs import replace
from result import Err

from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.document import ServiceDocument, ServiceKind
from fulmarpulley_schema.generated.http import (
    SampleBatch,
    StepOpen,
    StepTake,
    VersionAnnouncement,
)
from fulmarpulley_schema.generated.peer import MessageKind, StepCall, StepReply

from .errors import ErrorCode, RequestError, request_error
from .gate import Gate
from .locator import Locator
from .observe.metrics import Metrics
from .peers import PeerLinks
from .versions import Versions
from .web import json_response, path_number, read_body

CALL_DEADLINE_S = 3.0
# Time for which calls are retried while a step home moves to another node.
HOME_RETRY_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.2


class TrainerApi:
    """Forward the calls of trainers to their step homes."""

    def __init__(
        self,
        gate: Gate,
        peers: PeerLinks,
        locator: Locator,
        versions: Versions,
        metrics: Metrics,
    ) -> None:
        self.gate = gate
        self.peers = peers
        self.locator = locator
        self.versions = versions
        self.metrics = metrics

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the trainer routes."""
        trainer_path = "/v1/services/{service}/trainers/{trainer}"
        step_path = trainer_path + "/steps/{step}"
        router.add_put(step_path, self.open)
        router.add_post(step_path + "/take", self.take)
        router.add_delete(step_path, self.close)
        router.add_post(trainer_path + "/versions", self.announce)

    async def open(self, request: web.Request) -> web.Response:
        """Open a step; repeating the call has no further effect."""
        document = self._training_document(request)
        body = await read_body(request, StepOpen)
        call = self._step_call(request, document, body)
        return json_response(await self._forward(MessageKind.STEP_OPEN, document, call))

    async def take(self, request: web.Request) -> web.Response:
        """Return finished samples, waiting up to `wait_s` for the first one."""
        document = self._training_document(request)
        body = await read_body(request, StepTake)
        started_at = asyncio.get_running_loop().time()
        batch = await self._take_until_deadline(request, document, body)
        waited = asyncio.get_running_loop().time() - started_at
        labels = {"service": document.name, "tenant": request.match_info["trainer"]}
        self.metrics.trainer_wait.observe(labels, waited)
        return json_response(batch)

    async def close(self, request: web.Request) -> web.Response:
        """Close a step."""
        document = self._training_document(request)
        call = self._step_call(request, document, None)
        await self._forward(MessageKind.STEP_CLOSE, document, call)
        return json_response({})

    async def announce(self, request: web.Request) -> web.Response:
        """Announce a new weight version of the trainer."""
        document = self._training_document(request)
        body = await read_body(request, VersionAnnouncement)
        trainer = request.match_info["trainer"]
        await self.versions.announce(document, trainer, body.version)
        return json_response({})

    async def _take_until_deadline(
        self, request: web.Request, document: ServiceDocument, body: StepTake
    ) -> SampleBatch:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + body.wait_s
        while True:
            remaining_s = max(0.0, deadline - loop.time())
            call = self._step_call(request, document, replace(body, wait_s=remaining_s))
            batch = await self._forward(MessageKind.STEP_TAKE, document, call)
            if batch.samples or not batch.missing or loop.time() >= deadline:
                return batch

    def _training_document(self, request: web.Request) -> ServiceDocument:
        document = self.gate.document(request.match_info["service"])
        trainer = request.match_info["trainer"]
        if document.kind is not ServiceKind.TRAINING:
            message = f"service {document.name!r} is not a training service"
            raise request_error(ErrorCode.BAD_REQUEST, message)
        if trainer not in {entry.id for entry in document.trainers}:
            known = ", ".join(entry.id for entry in document.trainers) or "none"
            message = f"unknown trainer {trainer!r}; use one of: {known}"
            raise request_error(ErrorCode.BAD_REQUEST, message)
        return document

    def _step_call(
        self,
        request: web.Request,
        document: ServiceDocument,
        body: msgspec.Struct | None,
    ) -> StepCall:
        return StepCall(
            service=document.name,
            trainer=request.match_info["trainer"],
            step=path_number(request, "step"),
            body={} if body is None else to_builtins(body),
        )

    async def _forward(
        self, kind: MessageKind, document: ServiceDocument, call: StepCall
    ) -> SampleBatch:
        # Open, take and close are idempotent, so a call without a reply is sent again.
        deadline = asyncio.get_running_loop().time() + HOME_RETRY_TIMEOUT_S
        while True:
            home = self.locator.step_home(document, call.trainer)
            if home is not None:
                response = await self.peers.call(
                    home, kind, call, StepReply, CALL_DEADLINE_S
                )
                if not isinstance(response, Err) and not _is_retryable(
                    response.ok_value
                ):
                    return _batch_or_raise(response.ok_value)
            if asyncio.get_running_loop().time() >= deadline:
                message = "the step home did not reply; try again"
                raise request_error(ErrorCode.NOT_READY, message)
            await asyncio.sleep(RETRY_PAUSE_S)


def _is_retryable(step_reply: StepReply) -> bool:
    refusal = step_reply.refusal
    return refusal is not None and refusal.code == ErrorCode.NOT_READY.value


def _batch_or_raise(step_reply: StepReply) -> SampleBatch:
    if step_reply.refusal is not None:
        raise RequestError(step_reply.refusal)
    if not step_reply.batch:
        return SampleBatch(samples=[], missing=0)
    return msgspec.convert(step_reply.batch, SampleBatch)
