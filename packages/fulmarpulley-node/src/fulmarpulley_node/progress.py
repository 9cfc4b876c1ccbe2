"""Collect the tokens of one answer and notify readers of new ones."""

import asyncio
from collections.abc import Sequence

from fulmarpulley_schema.generated.http import Answer, Span
from fulmarpulley_schema.generated.peer import Refusal, WorkState, WorkTokens


class Progress:
    """Track the tokens received so far and the end of a work item.

    `replaced_from` is the lowest index from which another attempt replaced tokens;
    readers that hold more tokens receive those from there on again.
    """

    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.versions: list[int | None] = []
        self.replaced_from: int | None = None
        self.upstream = ""
        self.first_token: float | None = None
        self.done = False
        self.refusal: Refusal | None = None
        self.changed = asyncio.Event()
        self.ended = asyncio.Event()

    def append(self, token: str, version: int | None) -> None:
        """Add one token."""
        self.tokens.append(token)
        self.versions.append(version)
        self._notify_waiters()

    def apply(self, received: WorkTokens) -> None:
        """Add tokens from their start index on, replacing those already held."""
        start = received.start
        if start < len(self.tokens):
            self.replace(start, received.tokens, received.versions)
            return
        self.tokens += received.tokens
        self.versions += received.versions
        self._notify_waiters()

    def replace(
        self, start: int, tokens: Sequence[str], versions: Sequence[int | None]
    ) -> None:
        """Replace all tokens from an index on."""
        old = self.tokens[start:]
        if old != list(tokens[: len(old)]):
            known = self.replaced_from
            self.replaced_from = start if known is None else min(known, start)
        self.tokens[start:] = tokens
        self.versions[start:] = versions
        self._notify_waiters()

    def finish(self, upstream: str) -> None:
        """Mark the answer as complete."""
        if not self.done:
            self.upstream = upstream
            self._end()

    def refuse(self, refusal: Refusal) -> None:
        """End the work with a refusal instead of an answer."""
        if not self.done:
            self.refusal = refusal
            self._end()

    def override_refusal(self, refusal: Refusal) -> None:
        """Set the refusal, replacing one that no reader has seen yet."""
        self.refuse(refusal)
        self.refusal = refusal

    def apply_state(self, state: WorkState) -> None:
        """Apply the state reported by another node."""
        if state.tokens is not None:
            self.apply(state.tokens)
        if state.done and state.refusal is not None:
            self.refuse(state.refusal)
        elif state.done:
            self.finish(state.upstream)

    def snapshot(self, start: int = 0) -> WorkTokens:
        """Return the tokens from an index on."""
        return WorkTokens(
            start=start, tokens=self.tokens[start:], versions=self.versions[start:]
        )

    def state(self, have: int) -> WorkState:
        """Return the state for a reader that holds `have` tokens."""
        start = min(have, len(self.tokens))
        if self.replaced_from is not None:
            start = min(start, self.replaced_from)
        return WorkState(
            done=self.done,
            tokens=self.snapshot(start),
            upstream=self.upstream,
            refusal=self.refusal,
        )

    async def wait(self, have: int, wait_s: float, linger_s: float) -> WorkState:
        """Wait up to `wait_s` for a new token, then up to `linger_s` for the end.

        The second wait collects further tokens into the same reply.
        """
        if not self.done and len(self.tokens) <= have:
            await wait_event(self.changed, wait_s)
        if not self.done and len(self.tokens) > have:
            await wait_event(self.ended, linger_s)
        return self.state(have)

    def answer(self, key: str) -> Answer:
        """Return the complete answer."""
        return Answer(
            key=key,
            text="".join(self.tokens),
            count=len(self.tokens),
            spans=spans_of(self.versions),
            upstream=self.upstream,
        )

    def _end(self) -> None:
        self.done = True
        self.ended.set()
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        if self.first_token is None and self.tokens:
            self.first_token = asyncio.get_running_loop().time()
        self.changed.set()
        self.changed = asyncio.Event()


def spans_of(versions: Sequence[int | None]) -> list[Span]:
    """Return runs of equal versions; empty if any version is unknown."""
    spans: list[Span] = []
    for version in versions:
        if version is None:
            return []
        if spans and spans[-1].version == version:
            spans[-1].tokens += 1
        else:
            spans.append(Span(version=version, tokens=1))
    return spans


async def wait_event(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event; return False on a time-out."""
    if event.is_set():
        return True
    if seconds <= 0:
        return False
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
