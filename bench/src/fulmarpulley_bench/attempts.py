"""Define the interfaces around a pool and the state of its submitted work."""

from typing import Protocol

import msgspec

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool.messages import Action, Event, Refuse, Work
from fulmarpulley_schema.generated.http import Span


class Dispatcher(Protocol):
    """Decide what to do with the work of one pool."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions."""

    def next_wakeup(self) -> float | None:
        """Return the time of the next tick that the dispatcher needs, if any."""


class ResultHandler(Protocol):
    """Receive the results of submitted work."""

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Handle a complete answer."""

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Handle a refusal."""


class TrackedWork(msgspec.Struct):
    """Hold a submitted work item and the tokens received for it."""

    work: Work
    length: int
    submitted: float
    started: float | None = None
    attempts: int = 0
    spans: list[Span] = []


class Attempt(msgspec.Struct):
    """Hold an attempt from the point of view of the pool home."""

    tracked: TrackedWork
    upstream: UpstreamId
    resume_from: int
    prefix_spans: list[Span]


def truncate_spans(spans: list[Span], tokens: int) -> list[Span]:
    """Return the spans that cover the first `tokens` tokens."""
    kept: list[Span] = []
    for span in spans:
        taken = min(span.tokens, tokens)
        if taken > 0:
            kept.append(Span(version=span.version, tokens=taken))
        tokens -= taken
    return kept
