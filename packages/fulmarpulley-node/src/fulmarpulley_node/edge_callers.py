"""Serve the HTTP API for callers."""

import asyncio
import uuid
from typing import Any

import msgspec
from aiohttp import web

from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import (
    CallerRequest,
    Finding,
    KeyRequest,
    Keys,
    Ran,
    Span,
)
from fulmarpulley_schema.generated.peer import KeyedSubmit, WorkSubmit

from .errors import ErrorCode, RequestError, request_error
from .gate import Gate
from .homes.prompts import default_prefix_id, prompt_tokens
from .keyed_client import KeyedClient
from .locator import work_shard
from .observe.events import log_event
from .observe.metrics import Metrics
from .progress import Progress, spans_of, wait_event
from .web import EventStream, json_response, query_number, read_body
from .work_client import WorkClient

# Maximum of the wait_s query parameter.
MAX_WAIT_S = 20.0


class TokenBody(msgspec.Struct, kw_only=True):
    """Carry the data of a `token` event of a streamed answer."""

    index: int
    text: str
    version: int | None


class EndBody(msgspec.Struct, kw_only=True):
    """Carry the data of the `end` event that closes a streamed answer."""

    key: str
    count: int
    spans: list[Span]
    upstream: str


class CallerApi:
    """Handle requests of callers."""

    def __init__(
        self,
        gate: Gate,
        work_client: WorkClient,
        keyed_client: KeyedClient,
        metrics: Metrics,
    ) -> None:
        self.gate = gate
        self.work_client = work_client
        self.keyed_client = keyed_client
        self.metrics = metrics
        self.open_requests = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the caller routes."""
        requests_path = "/v1/services/{service}/requests"
        router.add_post("/v1/services/{service}/keys", self.issue_keys)
        router.add_post(requests_path, self.run_request)
        router.add_get(requests_path + "/{key}", self.fetch)
        router.add_delete(requests_path + "/{key}", self.cancel)

    async def issue_keys(self, request: web.Request) -> web.Response:
        """Issue idempotency keys for later requests."""
        document = self.gate.document(request.match_info["service"])
        body = await read_body(request, KeyRequest, document.limits.body_bytes)
        keys = await self.keyed_client.issue(document.name, body.count)
        return json_response(Keys(keys=keys))

    async def fetch(self, request: web.Request) -> web.Response:
        """Return the answer to an earlier request, waiting up to `wait_s` for it."""
        document = self._document_for_existing_request(request)
        key = request.match_info["key"]
        wait_s = query_number(request, "wait_s", 0.0, MAX_WAIT_S)
        progress = Progress()
        await self.keyed_client.fetch(document.name, key, progress, wait_s)
        return _answer_response(progress, key)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request; return its answer if it had already completed."""
        document = self._document_for_existing_request(request)
        key = request.match_info["key"]
        state = await self.keyed_client.cancel(document.name, key)
        progress = Progress()
        if state is not None:
            progress.apply_state(state)
        return _answer_response(progress, key)

    def _document_for_existing_request(self, request: web.Request) -> ServiceDocument:
        return self.gate.document_for_existing_request(request.match_info["service"])

    async def run_request(self, request: web.Request) -> web.StreamResponse:
        """Run a request and return or stream its answer."""
        document = self.gate.document(request.match_info["service"])
        body = await read_body(request, CallerRequest, document.limits.body_bytes)
        check_class(document, body)
        self.open_requests += 1
        try:
            return await self._run_and_respond(request, document, body)
        finally:
            self.open_requests -= 1

    async def _run_and_respond(
        self, request: web.Request, document: ServiceDocument, body: CallerRequest
    ) -> web.StreamResponse:
        progress = Progress()
        started_at = asyncio.get_running_loop().time()
        key = body.key
        if key is None and not body.repeatable:
            key = (await self.keyed_client.issue(document.name, 1))[0]
        task = self._start_run(document, body, key, progress)
        key = key or ""
        try:
            if body.stream:
                return await stream_answer(request, document, progress, key)
            await progress.ended.wait()
        finally:
            task.cancel()
            self._record_metrics(document, body, progress, started_at)
        if progress.refusal is not None:
            raise RequestError(progress.refusal)
        return json_response(progress.answer(key))

    def _start_run(
        self,
        document: ServiceDocument,
        body: CallerRequest,
        key: str | None,
        progress: Progress,
    ) -> "asyncio.Task[Any]":
        region = self.work_client.members.settings.region
        if key is None:
            work_id = f"r-{uuid.uuid4().hex}"
            submit = build_work_submit(document, body, work_id, region)
            return self.work_client.tasks.spawn(self.work_client.run(submit, progress))
        keyed = KeyedSubmit(
            service=document.name,
            key=key,
            input=body.input,
            class_name=body.class_name or "",
            max_tokens=body.max_tokens,
            priority=class_priority(document, body),
            deadline_s=body.deadline_s or document.deadline_s,
            repeatable=body.repeatable,
            region=region,
        )
        return self.work_client.tasks.spawn(self.keyed_client.run(keyed, progress))

    def _record_metrics(
        self,
        document: ServiceDocument,
        body: CallerRequest,
        progress: Progress,
        started_at: float,
    ) -> None:
        labels = {"service": document.name, "tenant": body.class_name or "default"}
        now = asyncio.get_running_loop().time()
        if progress.first_token_at is not None:
            self.metrics.first_token.observe(
                labels, progress.first_token_at - started_at
            )
        self.metrics.total.observe(labels, now - started_at)
        refusal = progress.refusal
        outcome = "lost" if not progress.done else "answered"
        outcome = outcome if refusal is None else refusal.code
        self.metrics.requests.inc({**labels, "outcome": outcome})
        log_event("request_ended", **labels, outcome=outcome, seconds=now - started_at)


async def stream_answer(
    request: web.Request, document: ServiceDocument, progress: Progress, key: str
) -> web.StreamResponse:
    """Stream tokens as they arrive and close the stream with `end` or `error`.

    An error before the first token is returned with its HTTP status. If the service
    hedges desk requests, another attempt may replace tokens, so the answer is sent
    only after it has completed.
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
    refusal = progress.refusal
    if refusal is not None:
        await stream.send("error", RequestError(refusal).body())
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
        error = request_error(ErrorCode.UPSTREAM_BROKEN, message, Ran.MAY_HAVE_RUN)
        await stream.send("error", error.body())
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
    """Raise RequestError if the document does not define the request's class."""
    known = [entry.name for entry in document.classes]
    if body.class_name is None or body.class_name in known:
        return
    message = f"unknown class {body.class_name!r}; use one of: {', '.join(known)}"
    findings = [Finding(path="$.class_name", message=message)]
    raise request_error(ErrorCode.BAD_REQUEST, message, findings=findings)


def class_priority(document: ServiceDocument, body: CallerRequest) -> int:
    """Return the priority of the request's class, or its own if it has no class."""
    for entry in document.classes:
        if entry.name == body.class_name:
            return entry.priority
    return body.priority


def _answer_response(progress: Progress, key: str) -> web.Response:
    if progress.refusal is not None:
        raise RequestError(progress.refusal)
    if not progress.done:
        message = "the request has not completed yet; try again"
        raise request_error(ErrorCode.DEADLINE_PASSED, message, Ran.MAY_HAVE_RUN)
    return json_response(progress.answer(key))


def build_work_submit(
    document: ServiceDocument, body: CallerRequest, work_id: str, region: str
) -> WorkSubmit:
    """Build the submit message for a request without a key."""
    prefix = default_prefix_id(body.input)
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
        priority=class_priority(document, body),
        deadline_s=body.deadline_s or document.deadline_s,
    )
