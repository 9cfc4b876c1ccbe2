"""Keep the claims of one node in one partition, and answers too large for the log."""

import itertools
from collections import OrderedDict
from typing import Any

import msgspec

from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.records import ClaimEntry, OutcomeEntry, OutcomeKind

from .claim_messages import ClaimEnd, OwnClaim, OwnClaimState, ServiceKey
from .ids import NodeId

# Larger answers stay in the memory of the holder, since they would slow down every
# reader of the log.
MAX_LOGGED_ANSWER_BYTES = 16 * 1024
# Memory limit for finished claims of one partition; the oldest are evicted first.
FINISHED_CLAIMS_BYTES = 1024 * 1024
# Estimated size of a finished claim without its answer.
CLAIM_OVERHEAD_BYTES = 512

# Makes claim ids unique when a process creates several tables for a partition in turn;
# a table would take a repeated claim id for a claim that was already read back.
_table_numbers = itertools.count(1)

_NOT_BEGUN = {OwnClaimState.PENDING, OwnClaimState.WON}
_RAN = {
    OutcomeKind.NOT_RUN: Ran.NOT_RUN,
    OutcomeKind.MAY_HAVE_RUN: Ran.MAY_HAVE_RUN,
    OutcomeKind.RAN: Ran.RAN,
    OutcomeKind.ANSWERED: Ran.RAN,
}


class OwnClaims:
    """Keep own claims by id, and the newest one of each key."""

    def __init__(self, node_id: NodeId, start_id: str) -> None:
        self.node_id = node_id
        self.prefix = f"{node_id}.{start_id}.{next(_table_numbers)}"
        self.claims: dict[str, OwnClaim] = {}
        self._newest: dict[ServiceKey, str] = {}
        self._finished_sizes: OrderedDict[str, int] = OrderedDict()
        self._finished_bytes = 0
        self._count = 0

    def __contains__(self, claim_id: object) -> bool:
        return claim_id in self.claims

    def get(self, claim_id: str) -> OwnClaim | None:
        """Return an own claim by its id."""
        return self.claims.get(claim_id)

    def newest(self, key: ServiceKey) -> OwnClaim | None:
        """Return the newest own claim of a key that is not abandoned."""
        claim_id = self._newest.get(key)
        return self.claims[claim_id] if claim_id is not None else None

    def ended_or_pending(self) -> list[OwnClaim]:
        """List the claims whose request is neither running nor about to run."""
        busy = {OwnClaimState.WON, OwnClaimState.RUNNING}
        return [own for own in self.claims.values() if own.state not in busy]

    def add(self, key: ServiceKey, fingerprint: str, repeatable: bool) -> OwnClaim:
        """Create a claim; a repeatable request is in state RUNNING at once."""
        self._count += 1
        entry = ClaimEntry(
            service=key.service,
            key=key.key,
            fingerprint=fingerprint,
            holder=self.node_id,
            claim_id=f"{self.prefix}.{self._count}",
            repeatable=repeatable,
        )
        state = OwnClaimState.RUNNING if repeatable else OwnClaimState.PENDING
        own = OwnClaim(entry, state)
        self.claims[entry.claim_id] = own
        self._newest[key] = entry.claim_id
        return own

    def drop(self, own: OwnClaim) -> None:
        """Forget a claim."""
        claim_id = own.entry.claim_id
        self.claims.pop(claim_id, None)
        self._finished_bytes -= self._finished_sizes.pop(claim_id, 0)
        self._clear_newest(own)

    def abandon(self, claim_id: str) -> ClaimEnd:
        """Abandon a claim whose request was not begun."""
        own = self.claims.get(claim_id)
        if own is None or own.state not in _NOT_BEGUN:
            return ClaimEnd(Ran.MAY_HAVE_RUN)
        return self._give_up(own)

    def finish(
        self, claim_id: str, outcome: OutcomeKind, answer: dict[str, Any] | None
    ) -> ClaimEnd:
        """Record the outcome of a running request.

        An outcome MAY_HAVE_RUN may be replaced by a more exact one later.
        """
        own = self.claims.get(claim_id)
        if own is None or not _may_finish(own):
            return ClaimEnd(Ran.MAY_HAVE_RUN)
        if outcome is OutcomeKind.NOT_RUN:
            return self._give_up(own)
        own.state = OwnClaimState.FINISHED
        own.outcome = outcome
        own.answer = answer
        self._retain_finished(own)
        return ClaimEnd(_RAN[outcome], outcome_to_append(own))

    def _give_up(self, own: OwnClaim) -> ClaimEnd:
        own.state = OwnClaimState.ABANDONED
        own.outcome = OutcomeKind.NOT_RUN
        self._clear_newest(own)
        return ClaimEnd(Ran.NOT_RUN, outcome_to_append(own))

    def _clear_newest(self, own: OwnClaim) -> None:
        if self._newest.get(own.key) == own.entry.claim_id:
            del self._newest[own.key]

    def _retain_finished(self, own: OwnClaim) -> None:
        claim_id = own.entry.claim_id
        size = CLAIM_OVERHEAD_BYTES + answer_bytes(own.answer)
        self._finished_bytes += size - self._finished_sizes.pop(claim_id, 0)
        self._finished_sizes[claim_id] = size
        while (
            self._finished_bytes > FINISHED_CLAIMS_BYTES
            and len(self._finished_sizes) > 1
        ):
            self.drop(self.claims[next(iter(self._finished_sizes))])


def outcome_to_append(own: OwnClaim) -> OutcomeEntry:
    """Return the outcome entry to append, without the answer if it is too large."""
    small = answer_bytes(own.answer) <= MAX_LOGGED_ANSWER_BYTES
    return own.outcome_entry(own.answer if small else None)


def answer_bytes(answer: dict[str, Any] | None) -> int:
    """Return the encoded size of an answer."""
    return 0 if answer is None else len(msgspec.json.encode(answer))


def _may_finish(own: OwnClaim) -> bool:
    if own.state is OwnClaimState.RUNNING:
        return True
    finished = own.state is OwnClaimState.FINISHED
    return finished and own.outcome is OutcomeKind.MAY_HAVE_RUN
