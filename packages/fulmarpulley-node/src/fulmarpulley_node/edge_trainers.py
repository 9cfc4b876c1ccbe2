"""Serve trainers over HTTP."""

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

from .errors import ErrorCode, RequestError, error
from .gate import Gate
from .locate import Locator
from .observe.metrics import Metrics
from .peers import PeerLinks
from .versions import Versions
from .web import path_number, read_body, reply

CALL_DEADLINE_S = 3.0
# A step home that moved is looked for again this long before the trainer is told.
FIND_HOME_S = 5.0
RETRY_PAUSE_S = 0.2


class TrainerEdge:
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
        """Add the routes of trainers."""
        trainer = "/v1/services/{service}/trainers/{trainer}"
        step = trainer + "/steps/{step}"
        router.add_put(step, self.open)
        router.add_post(step + "/take", self.take)
        router.add_delete(step, self.close)
        router.add_post(trainer + "/versions", self.announce)

    async def open(self, request: web.Request) -> web.Response:
        """Open a step, or state it again."""
        document = self._document(request)
        body = await read_body(request, StepOpen)
        call = self._call(request, document, body)
        return reply(await self._forward(MessageKind.STEP_OPEN, document, call))

    async def take(self, request: web.Request) -> web.Response:
        """Hand over finished samples, waiting for the first."""
        document = self._document(request)
        body = await read_body(request, StepTake)
        started = asyncio.get_running_loop().time()
        batch = await self._take(request, document, body)
        waited = asyncio.get_running_loop().time() - started
        labels = {"service": document.name, "tenant": request.match_info["trainer"]}
        self.metrics.trainer_wait.observe(labels, waited)
        return reply(batch)

    async def close(self, request: web.Request) -> web.Response:
        """Close a step."""
        document = self._document(request)
        call = self._call(request, document, None)
        await self._forward(MessageKind.STEP_CLOSE, document, call)
        return reply({})

    async def announce(self, request: web.Request) -> web.Response:
        """Take the announcement of a version."""
        document = self._document(request)
        body = await read_body(request, VersionAnnouncement)
        trainer = request.match_info["trainer"]
        await self.versions.announce(document, trainer, body.version)
        return reply({})

    async def _take(
        self, request: web.Request, document: ServiceDocument, body: StepTake
    ) -> SampleBatch:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + body.wait_s
        while True:
            left = max(0.0, deadline - loop.time())
            call = self._call(request, document, replace(body, wait_s=left))
            batch = await self._forward(MessageKind.STEP_TAKE, document, call)
            if batch.samples or not batch.missing or loop.time() >= deadline:
                return batch

    def _document(self, request: web.Request) -> ServiceDocument:
        document = self.gate.document(request.match_info["service"])
        trainer = request.match_info["trainer"]
        if document.kind is not ServiceKind.TRAINING:
            message = f"service {document.name!r} is not a training service"
            raise error(ErrorCode.BAD_REQUEST, message)
        if trainer not in {entry.id for entry in document.trainers}:
            known = ", ".join(entry.id for entry in document.trainers) or "none"
            message = f"unknown trainer {trainer!r}; the document names: {known}"
            raise error(ErrorCode.BAD_REQUEST, message)
        return document

    def _call(
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
        # Open, take and close are idempotent, so they are sent again after a loss.
        deadline = asyncio.get_running_loop().time() + FIND_HOME_S
        while True:
            home = self.locator.step_home(document, call.trainer)
            if home is not None:
                done = await self.peers.call(
                    home, kind, call, StepReply, CALL_DEADLINE_S
                )
                if not isinstance(done, Err) and not _elsewhere(done.ok_value):
                    return _batch(done.ok_value)
            if asyncio.get_running_loop().time() >= deadline:
                message = "the step home does not answer; try again"
                raise error(ErrorCode.NOT_READY, message)
            await asyncio.sleep(RETRY_PAUSE_S)


def _elsewhere(answer: StepReply) -> bool:
    refused = answer.refusal
    return refused is not None and refused.code == ErrorCode.NOT_READY.value


def _batch(answer: StepReply) -> SampleBatch:
    if answer.refusal is not None:
        raise RequestError(answer.refusal)
    if not answer.batch:
        return SampleBatch(samples=[], missing=0)
    return msgspec.convert(answer.batch, SampleBatch)
