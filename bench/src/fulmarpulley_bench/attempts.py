"""Describe the two sides of a pool and what has been received for its work."""

from typing import Protocol

import msgspec

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool.messages import Action, Event, Refuse, Work
from fulmarpulley_schema.generated.http import Span


class Dispatcher(Protocol):
    """Decide on the work of one pool."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event and return the actions that follow from it."""

    def next_wakeup(self) -> float | None:
        """Return the time at which a tick is due."""


class ResultHandler(Protocol):
    """Receive the results of submitted work."""

    def finished(self, work: Work, tokens: int, spans: list[Span]) -> None:
        """Take a complete answer."""

    def refused(self, work: Work, refusal: Refuse) -> None:
        """Take a refusal."""


class TrackedWork(msgspec.Struct):
    """Hold what the owner of a work item has received for it."""

    work: Work
    length: int
    submitted: float
    started: float | None = None
    attempts: int = 0
    spans: list[Span] = []


class Attempt(msgspec.Struct):
    """Hold an attempt as the pool home sees it."""

    tracked: TrackedWork
    upstream: UpstreamId
    resume_from: int
    prefix_spans: list[Span]


def truncate_spans(spans: list[Span], tokens: int) -> list[Span]:
    """Return the spans of the first tokens."""
    kept: list[Span] = []
    for span in spans:
        taken = min(span.tokens, tokens)
        if taken > 0:
            kept.append(Span(version=span.version, tokens=taken))
        tokens -= taken
    return kept
