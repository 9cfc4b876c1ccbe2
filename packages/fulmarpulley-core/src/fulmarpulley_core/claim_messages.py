"""Define what a claim table decides and reports."""

from enum import StrEnum
from typing import Any

import msgspec

from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.records import ClaimEntry, OutcomeEntry, OutcomeKind

from .ids import NodeId, RequestKey, ServiceName


class ServiceKey(msgspec.Struct, frozen=True):
    """Name a request key within its service."""

    service: ServiceName
    key: RequestKey


class AppendClaim(msgspec.Struct, frozen=True):
    """Append a claim; a repeatable request starts without waiting for the log."""

    entry: ClaimEntry
    run_immediately: bool


class WaitForOutcome(msgspec.Struct, frozen=True):
    """Wait until the key changes, or ask the holder of the claim."""

    holder: NodeId
    claim_id: str


class ReturnAnswer(msgspec.Struct, frozen=True):
    """Return a stored answer."""

    answer: dict[str, Any]


class RefuseKey(msgspec.Struct, frozen=True):
    """Refuse a request with an error code of the HTTP interface."""

    code: str
    ran: Ran


ClaimDecision = AppendClaim | WaitForOutcome | ReturnAnswer | RefuseKey


class ClaimWon(msgspec.Struct, frozen=True):
    """Report that an own claim is the current one; `begin` it to run the request."""

    key: ServiceKey
    claim_id: str


class ClaimRefused(msgspec.Struct, frozen=True):
    """Report that an own claim can never count, and why."""

    key: ServiceKey
    claim_id: str
    refusal: RefuseKey


class KeyChanged(msgspec.Struct, frozen=True):
    """Report news of a key; requests that wait for it ask again."""

    key: ServiceKey


class AppendOutcome(msgspec.Struct, frozen=True):
    """Append an outcome again: the log holds the claim, but not yet its outcome."""

    entry: OutcomeEntry


class RecordUnreadable(msgspec.Struct, frozen=True):
    """Report a record that this program cannot read."""

    reason: str


ClaimEvent = ClaimWon | ClaimRefused | KeyChanged | AppendOutcome | RecordUnreadable


class ClaimEnd(msgspec.Struct, frozen=True):
    """Tell what to report of a claim that ended here, and what to append."""

    ran: Ran
    record: OutcomeEntry | None = None


class OwnClaimState(StrEnum):
    """Name how far the request of an own claim has come."""

    PENDING = "pending"
    WON = "won"
    RUNNING = "running"
    FINISHED = "finished"
    ABANDONED = "abandoned"


class OwnClaim(msgspec.Struct):
    """Hold a claim of this node; `read` tells whether it was read back."""

    entry: ClaimEntry
    state: OwnClaimState
    read_back: bool = False
    outcome: OutcomeKind | None = None
    answer: dict[str, Any] | None = None

    @property
    def key(self) -> ServiceKey:
        """Return the key that the claim is about."""
        return ServiceKey(ServiceName(self.entry.service), RequestKey(self.entry.key))

    def outcome_entry(self, answer: dict[str, Any] | None) -> OutcomeEntry:
        """Return the outcome to append; MAY_HAVE_RUN while there is none."""
        return OutcomeEntry(
            service=self.entry.service,
            key=self.entry.key,
            claim_id=self.entry.claim_id,
            outcome=self.outcome or OutcomeKind.MAY_HAVE_RUN,
            answer=answer,
        )
