"""Serve callers over HTTP."""

import asyncio
import uuid

import msgspec
from aiohttp import web

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import CallerRequest, Finding, Ran, Span
from fulmarpulley_schema.generated.peer import WorkSubmit

from .errors import ErrorCode, RequestError, error
from .gate import Gate
from .homes.prompts import prompt_tokens, sample_prefix
from .locate import work_shard
from .observe.events import log_event
from .observe.metrics import Metrics
from .progress import Progress, spans_of, wait_event
from .web import EventStream, read_body, reply
from .work_client import WorkClient


class TokenBody(msgspec.Struct, kw_only=True):
    """Carry one token of a streamed answer."""

    index: int
    text: str
    version: int | None


class EndBody(msgspec.Struct, kw_only=True):
    """Close a streamed answer."""

    key: str
    count: int
    spans: list[Span]
    upstream: str


class CallerEdge:
    """Run the requests of callers."""

    def __init__(self, gate: Gate, work: WorkClient, metrics: Metrics) -> None:
        self.gate = gate
        self.work = work
        self.metrics = metrics
        self.open_requests = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of callers."""
        router.add_post("/v1/services/{service}/requests", self.request)

    async def request(self, request: web.Request) -> web.StreamResponse:
        """Run one request."""
        document = self.gate.document(request.match_info["service"])
        body = await read_body(request, CallerRequest, document.limits.body_bytes)
        check_class(document, body)
        self.open_requests += 1
        try:
            return await self._run(request, document, body)
        finally:
            self.open_requests -= 1

    async def _run(
        self, request: web.Request, document: ServiceDocument, body: CallerRequest
    ) -> web.StreamResponse:
        key = body.key or f"r-{uuid.uuid4().hex}"
        progress = Progress()
        started = asyncio.get_running_loop().time()
        submit = desk_submit(document, body, key, self.work.members.settings.region)
        running = self.work.tasks.spawn(self.work.run(submit, progress))
        try:
            if body.stream:
                return await stream_answer(request, document, progress, key)
            await progress.ended.wait()
        finally:
            running.cancel()
            self._measure(document, body, progress, started)
        if progress.refusal is not None:
            raise RequestError(progress.refusal)
        return reply(progress.answer(key))

    def _measure(
        self,
        document: ServiceDocument,
        body: CallerRequest,
        progress: Progress,
        started: float,
    ) -> None:
        labels = {"service": document.name, "tenant": body.class_name or "default"}
        now = asyncio.get_running_loop().time()
        if progress.first_token is not None:
            self.metrics.first_token.observe(labels, progress.first_token - started)
        self.metrics.total.observe(labels, now - started)
        refused = progress.refusal
        outcome = "lost" if not progress.done else "answered"
        outcome = outcome if refused is None else refused.code
        self.metrics.requests.inc({**labels, "outcome": outcome})
        log_event("request_ended", **labels, outcome=outcome, seconds=now - started)


async def stream_answer(
    request: web.Request, document: ServiceDocument, progress: Progress, key: str
) -> web.StreamResponse:
    """Stream tokens as they come and close with `end` or `error`.

    Before the first token an error is answered with its HTTP status. Desk hedges may
    replace tokens, so such a service streams only the whole answer.
    """
    if document.hedges.desk:
        await progress.ended.wait()
    while not progress.done and not progress.tokens:
        await wait_event(progress.changed, 1.0)
    if progress.refusal is not None and not progress.tokens:
        raise RequestError(progress.refusal)
    stream = EventStream(request)
    await stream.open()
    await _send_tokens(stream, progress)
    refused = progress.refusal
    if refused is not None:
        await stream.send("error", RequestError(refused).body())
    elif progress.done:
        end = EndBody(
            key=key,
            count=len(progress.tokens),
            spans=spans_of(progress.versions),
            upstream=progress.upstream,
        )
        await stream.send("end", end)
    else:
        message = "another attempt replaced tokens that were already sent"
        failure = error(ErrorCode.UPSTREAM_BROKEN, message, Ran.MAY_HAVE_RUN)
        await stream.send("error", failure.body())
    return stream.response


async def _send_tokens(stream: EventStream, progress: Progress) -> None:
    sent = 0
    while True:
        if progress.replaced_from is not None and progress.replaced_from < sent:
            progress.done = False
            return
        while sent < len(progress.tokens):
            token = TokenBody(
                index=sent,
                text=progress.tokens[sent],
                version=progress.versions[sent],
            )
            sent += 1
            await stream.send("token", token)
        if progress.done:
            return
        await wait_event(progress.changed, 1.0)


def check_class(document: ServiceDocument, body: CallerRequest) -> None:
    """Raise RequestError for a class that the document does not name."""
    known = [entry.name for entry in document.classes]
    if body.class_name is None or body.class_name in known:
        return
    message = f"unknown class {body.class_name!r}; use one of: {', '.join(known)}"
    findings = [Finding(path="$.class_name", message=message)]
    raise error(ErrorCode.BAD_REQUEST, message, findings=findings)


def desk_submit(
    document: ServiceDocument, body: CallerRequest, work_id: str, region: str
) -> WorkSubmit:
    """Build the work item of a request."""
    priority = body.priority
    for entry in document.classes:
        if entry.name == body.class_name:
            priority = entry.priority
    prefix = sample_prefix(body.input)
    return WorkSubmit(
        work_id=work_id,
        service=document.name,
        shard=work_shard(document, prefix),
        tenant=body.class_name or "default",
        kind="desk",
        model=document.model,
        prompt=body.input,
        max_tokens=body.max_tokens,
        prompt_tokens=prompt_tokens(body.input),
        prefix=prefix,
        region=region,
        repeatable=body.repeatable,
        priority=priority,
        deadline_s=body.deadline_s or document.deadline_s,
    )
