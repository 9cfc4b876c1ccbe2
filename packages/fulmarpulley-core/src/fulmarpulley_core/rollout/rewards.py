"""Decide on retries, capacity and order of the reward calls for finished texts.

Reward calls come in bursts at the end of groups. They share the upstreams of a plain
service with callers, whose requests must not queue behind them.
"""

from enum import StrEnum

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument

# The other half of the slots is reserved for callers.
REWARD_SLOT_SHARE = 0.5
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.5


class RewardOutcome(StrEnum):
    """Enumerate the outcomes of a reward call."""

    SCORED = "scored"
    # The service executed the call and returned a failure.
    FAILED = "failed"
    # The answer is lost or corrupt, or the call never ran; the text is not at fault.
    LOST = "lost"


class RewardRetryState(msgspec.Struct):
    """Decide on retries of the reward calls of one item.

    Only answers that report a failure count against the item; a text must not be lost
    because the service is unavailable for a while.
    """

    max_failures: int
    failures: int = 0
    lost: int = 0

    def note(self, outcome: RewardOutcome) -> None:
        """Count the outcome of a call."""
        self.failures += outcome is RewardOutcome.FAILED
        self.lost += outcome is RewardOutcome.LOST

    @property
    def exhausted(self) -> bool:
        """Return whether the allowed failures are used up."""
        return self.failures >= self.max_failures

    def pause_s(self) -> float:
        """Return the delay before the next call."""
        tries = self.failures + self.lost
        return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** max(0, tries - 1))


def reward_document(document: ServiceDocument) -> ServiceDocument:
    """Return the document of a plain service for the pool of its reward calls.

    The pool makes a single attempt per call, so that each failure is counted.
    """
    upstreams = [
        msgspec.structs.replace(
            entry, capacity=max(1, int(entry.capacity * REWARD_SLOT_SHARE))
        )
        for entry in document.upstreams
    ]
    retries = msgspec.structs.replace(document.retries, attempts=1)
    return msgspec.structs.replace(document, upstreams=upstreams, retries=retries)


def reward_rank(submitted_ms: int, rank: int) -> int:
    """Return the rank of a call in the queue; the lowest starts first.

    Older steps go first; within a step the items of awaited groups go first.

    :param submitted_ms: time of the step's submission in Unix milliseconds
    :param rank: rank of the item within its step
    """
    return submitted_ms + rank
