"""Send one request of a caller and retry it according to the error table."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Literal

import aiohttp
import msgspec

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.http import (
    Answer,
    CallerRequest,
    KeyRequest,
    Keys,
    Ran,
    Span,
)

from .history import (
    AttemptAnswered,
    AttemptFailed,
    AttemptStarted,
    Completed,
    History,
    Invoked,
)
from .node_client import CallError, NodeClient, decode_error

Outcome = Literal["answered", "not_run", "unresolved", "gave_up"]

# Error codes for which a retry of the same request cannot succeed.
PERMANENT_ERROR_CODES = {"bad_request", "too_large", "unknown_service", "key_reused"}
# If the connection is refused, nothing has been sent.
CONNECT_REFUSED_CODE = "lost: ClientConnectorError"
FETCH_WAIT_S = 1.0
# Errors of a request that may have run until it counts as unresolved.
MAX_UNRESOLVED_ERRORS = 6


class StreamToken(msgspec.Struct, kw_only=True):
    """Hold one streamed token of an answer."""

    index: int
    text: str


class StreamEnd(msgspec.Struct, kw_only=True):
    """Hold the closing event of a streamed answer."""

    count: int
    spans: list[Span] = []
    upstream: str = ""


class StreamError(msgspec.Struct, kw_only=True):
    """Hold the closing event of a failed stream."""

    code: str
    ran: Ran


class ReceivedAnswer(msgspec.Struct, kw_only=True):
    """Hold an answer and the indexes of its streamed tokens."""

    answer: Answer
    indexes: list[int] | None = None


class Invocation:
    """Run one request until it is answered, refused, unresolved or given up."""

    def __init__(
        self, client: NodeClient, history: History, invoked: Invoked, patience_s: float
    ) -> None:
        self.client = client
        self.history = history
        self.invoked = invoked
        self.path = f"/v1/services/{invoked.service}"
        self.request = CallerRequest(
            input=invoked.input,
            max_tokens=invoked.max_tokens,
            repeatable=invoked.repeatable,
        )
        self.deadline = time.monotonic() + patience_s
        self.node = client.choose()
        self.attempt = 0
        self.fetch_by_key = False
        self.unresolved_errors = 0
        self.last_ran: Ran | None = None

    async def run(self) -> Outcome:
        """Run the request to its end and record the outcome."""
        self.history.add(self.invoked)
        outcome = await self.run_attempts()
        ended = Completed(invocation=self.invoked.invocation, outcome=outcome)
        self.history.add(ended)
        return outcome

    async def run_attempts(self) -> Outcome:
        """Try until an answer, a permanent error or the deadline."""
        while time.monotonic() < self.deadline:
            try:
                await self.ensure_key()
                self.record_attempt()
                received = await self.receive()
            except CallError as error:
                if (outcome := await self.handle_error(error)) is not None:
                    return outcome
            else:
                self.record_answer(received)
                await self.fetch_again()
                return "answered"
        return "not_run" if self.last_ran == Ran.NOT_RUN else "gave_up"

    async def fetch_again(self) -> None:
        """Fetch the stored answer again by key at another node."""
        if self.request.repeatable:
            return
        self.fetch_by_key = True
        self.node = self.client.choose(avoid=self.node)
        self.record_attempt()
        try:
            self.record_answer(await self.receive())
        except CallError as error:
            self.record_failure(error)

    async def ensure_key(self) -> None:
        """Request a key from the node if the request must not be repeated."""
        if self.request.key is not None or self.request.repeatable:
            return
        path = f"{self.path}/keys"
        body = KeyRequest(count=1)
        try:
            keys = await self.client.call(self.node, "POST", path, Keys, body)
        except CallError as error:
            # The request is never sent without its key, so it has not run.
            raise CallError(error.code, Ran.NOT_RUN, error.retry_after_s) from error
        self.request.key = keys.keys[0]

    def record_attempt(self) -> None:
        """Record the start of an attempt."""
        self.attempt += 1
        started = AttemptStarted(
            invocation=self.invoked.invocation,
            attempt=self.attempt,
            node=self.node,
            fetch=self.fetch_by_key,
            key=self.request.key,
        )
        self.history.add(started)

    async def receive(self) -> ReceivedAnswer:
        """Send the request or fetch its answer by key."""
        if self.fetch_by_key:
            path = f"{self.path}/requests/{self.request.key}?wait_s={FETCH_WAIT_S}"
            answer = await self.client.call(self.node, "GET", path, Answer)
            return ReceivedAnswer(answer=answer)
        path = f"{self.path}/requests"
        if self.request.stream:
            return await self.receive_stream(path)
        answer = await self.client.call(self.node, "POST", path, Answer, self.request)
        return ReceivedAnswer(answer=answer)

    async def receive_stream(self, path: str) -> ReceivedAnswer:
        """Send the request and collect the streamed answer."""
        tokens: list[StreamToken] = []
        try:
            async for name, data in self.events(path):
                if name == "token":
                    tokens.append(codec.from_json(data, StreamToken))
                elif name == "end":
                    return _join_stream(tokens, codec.from_json(data, StreamEnd))
                elif name == "error":
                    error = codec.from_json(data, StreamError)
                    raise CallError(error.code, error.ran)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise CallError(f"lost: {type(error).__name__}") from error
        raise CallError("lost: stream without closing event")

    async def events(self, path: str) -> AsyncIterator[tuple[str, bytes]]:
        """Yield name and data of the server-sent events of the answer."""
        body = codec.to_json(self.request)
        async with self.client.session.post(
            self.node + path, data=body, allow_redirects=False
        ) as response:
            if response.status >= 300:
                raise decode_error(await response.read(), response.status)
            name = ""
            async for line in response.content:
                if line.startswith(b"event:"):
                    name = line[6:].strip().decode()
                elif line.startswith(b"data:"):
                    yield name, line[5:].strip()

    async def handle_error(self, error: CallError) -> Outcome | None:
        """Record an error and return the outcome, or None to try again."""
        self.record_failure(error)
        if error.code == CONNECT_REFUSED_CODE:
            # Nothing was sent, so `last_ran` and `fetch_by_key` stay. Switching to
            # fetching here could keep the request from ever being sent, since the only
            # live node may be the one that is avoided next.
            await self.switch_node(error)
            return None
        self.last_ran = error.ran
        if error.code in PERMANENT_ERROR_CODES:
            return "not_run"
        if error.code == "key_expired":
            return "unresolved"
        if not self.request.repeatable and error.ran not in (None, Ran.NOT_RUN):
            self.unresolved_errors += 1
            if self.unresolved_errors >= MAX_UNRESOLVED_ERRORS:
                return "unresolved"
        # For a request that may have run, only a fetch by key can show the outcome.
        self.fetch_by_key = not self.request.repeatable and error.ran != Ran.NOT_RUN
        await self.switch_node(error)
        return None

    async def switch_node(self, error: CallError) -> None:
        """Choose another node and wait for the retry delay, at most 1 s."""
        self.node = self.client.choose(avoid=self.node)
        await asyncio.sleep(min(error.retry_after_s, 1.0))

    def record_failure(self, error: CallError) -> None:
        """Record the error of an attempt."""
        failed = AttemptFailed(
            invocation=self.invoked.invocation,
            attempt=self.attempt,
            code=error.code,
            ran=error.ran,
        )
        self.history.add(failed)

    def record_answer(self, received: ReceivedAnswer) -> None:
        """Record the answer of an attempt."""
        answer = received.answer
        answered = AttemptAnswered(
            invocation=self.invoked.invocation,
            attempt=self.attempt,
            text=answer.text,
            count=answer.count,
            spans=answer.spans,
            upstream=answer.upstream,
            indexes=received.indexes,
        )
        self.history.add(answered)


def _join_stream(tokens: list[StreamToken], end: StreamEnd) -> ReceivedAnswer:
    text = "".join(token.text for token in tokens)
    answer = Answer(
        key="", text=text, count=end.count, spans=end.spans, upstream=end.upstream
    )
    return ReceivedAnswer(answer=answer, indexes=[token.index for token in tokens])
