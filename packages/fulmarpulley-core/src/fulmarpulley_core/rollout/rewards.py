"""Decide how the reward calls of finished texts are made.

Answers the bursts of reward calls at the end of groups. They share the upstreams of a
plain service with callers, who wait for their answers and must not stand behind them.
"""

from enum import StrEnum

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument

# Callers find the other half of the slots free, however many reward calls wait.
REWARD_SLOT_SHARE = 0.5
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.5


class RewardOutcome(StrEnum):
    """Name what became of one reward call."""

    SCORED = "scored"
    # The service ran the call and answered with a failure.
    FAILED = "failed"
    # The answer is lost or spoiled, or the call never ran; nothing speaks against it.
    LOST = "lost"


class RewardRetryState(msgspec.Struct):
    """Decide what follows the outcomes of the reward calls of one item.

    Only answers that say that the call failed count against the item; a service that is
    away for a while must not cost a text.
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
        """Tell whether no call will ever succeed."""
        return self.failures >= self.max_failures

    def pause_s(self) -> float:
        """Return how long to wait before the next call."""
        tries = self.failures + self.lost
        return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** max(0, tries - 1))


def reward_document(document: ServiceDocument) -> ServiceDocument:
    """Describe a plain service to the pool of its reward calls.

    A call of the pool is one attempt, so that each failure is counted.
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
    """Return the place of a call among those that wait; the lowest starts first.

    Older steps are due sooner; within a step the items of awaited groups go first.

    :param submitted_ms: Unix milliseconds of the step's submission
    :param rank: place of the item within its step
    """
    return submitted_ms + rank
