"""Collect the tokens of one answer and let others wait for more."""

import asyncio
from collections.abc import Sequence

from fulmarpulley_schema.generated.http import Answer, Span
from fulmarpulley_schema.generated.peer import Refusal, WorkState, WorkTokens


class Progress:
    """Hold the tokens received so far and the end of a work item.

    Tokens below `stable` never change for a reader that has read them; a smaller
    `stable` than a reader's count tells it that another attempt replaced the rest.
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
        """Add tokens from an index on; tokens already held are replaced."""
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
        """Replace the tokens from an index on."""
        old = self.tokens[start:]
        if old != list(tokens[: len(old)]):
            known = self.replaced_from
            self.replaced_from = start if known is None else min(known, start)
        self.tokens[start:] = tokens
        self.versions[start:] = versions
        self._notify_waiters()

    def finish(self, upstream: str) -> None:
        """Note that the answer is whole."""
        if not self.done:
            self.upstream = upstream
            self._end()

    def refuse(self, refusal: Refusal) -> None:
        """Note that there will be no answer."""
        if not self.done:
            self.refusal = refusal
            self._end()

    def override_refusal(self, refusal: Refusal) -> None:
        """Set the refusal, also in place of one that nobody has read yet."""
        self.refuse(refusal)
        self.refusal = refusal

    def apply_state(self, state: WorkState) -> None:
        """Apply what another node reports."""
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
        """Return what a reader with that many tokens is missing."""
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
        """Wait for more tokens, then a little for further ones, or for the end."""
        if not self.done and len(self.tokens) <= have:
            await wait_event(self.changed, wait_s)
        if not self.done and len(self.tokens) > have:
            await wait_event(self.ended, linger_s)
        return self.state(have)

    def answer(self, key: str) -> Answer:
        """Return the whole answer."""
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
    """Return the runs of equal versions; empty when a version is unknown."""
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
    """Wait for an event; return False when the time is over first."""
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
