"""Define the decisions and events of a claim table."""

from enum import StrEnum
from typing import Any

import msgspec

from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.records import ClaimEntry, OutcomeEntry, OutcomeKind

from .ids import NodeId, RequestKey, ServiceName


class ServiceKey(msgspec.Struct, frozen=True):
    """Identify a request key within its service."""

    service: ServiceName
    key: RequestKey


class AppendClaim(msgspec.Struct, frozen=True):
    """Append a claim to the log.

    With `run_immediately` the request starts without waiting until the claim is read
    back; only repeatable requests do.
    """

    entry: ClaimEntry
    run_immediately: bool


class WaitForOutcome(msgspec.Struct, frozen=True):
    """Wait until the state of the key changes, or ask the holder of the claim."""

    holder: NodeId
    claim_id: str


class ReturnAnswer(msgspec.Struct, frozen=True):
    """Return a stored answer."""

    answer: dict[str, Any]


class RefuseKey(msgspec.Struct, frozen=True):
    """Refuse a request with an error code of the HTTP interface.

    `ran` states whether the request was executed.
    """

    code: str
    ran: Ran


ClaimDecision = AppendClaim | WaitForOutcome | ReturnAnswer | RefuseKey


class ClaimWon(msgspec.Struct, frozen=True):
    """Report that an own claim is the current one.

    Call `begin` before the request runs.
    """

    key: ServiceKey
    claim_id: str


class ClaimRefused(msgspec.Struct, frozen=True):
    """Report that an own claim can never become the current one, and why."""

    key: ServiceKey
    claim_id: str
    refusal: RefuseKey


class KeyChanged(msgspec.Struct, frozen=True):
    """Report that the state of a key changed; waiting requests must ask again."""

    key: ServiceKey


class AppendOutcome(msgspec.Struct, frozen=True):
    """Append an outcome again, since the log has its claim but not the outcome."""

    entry: OutcomeEntry


class RecordUnreadable(msgspec.Struct, frozen=True):
    """Report a record that this version of the program cannot decode."""

    reason: str


ClaimEvent = ClaimWon | ClaimRefused | KeyChanged | AppendOutcome | RecordUnreadable


class ClaimEnd(msgspec.Struct, frozen=True):
    """State whether a request that ended on this node ran, and what to append."""

    ran: Ran
    record: OutcomeEntry | None = None


class OwnClaimState(StrEnum):
    """Enumerate the states of the request of an own claim."""

    PENDING = "pending"
    WON = "won"
    RUNNING = "running"
    FINISHED = "finished"
    ABANDONED = "abandoned"


class OwnClaim(msgspec.Struct):
    """Hold a claim of this node; `read_back` is set once the log returned it."""

    entry: ClaimEntry
    state: OwnClaimState
    read_back: bool = False
    outcome: OutcomeKind | None = None
    answer: dict[str, Any] | None = None

    @property
    def key(self) -> ServiceKey:
        """Return the key of the claim."""
        return ServiceKey(ServiceName(self.entry.service), RequestKey(self.entry.key))

    def outcome_entry(self, answer: dict[str, Any] | None) -> OutcomeEntry:
        """Return the outcome as a log entry; MAY_HAVE_RUN while there is none."""
        return OutcomeEntry(
            service=self.entry.service,
            key=self.entry.key,
            claim_id=self.entry.claim_id,
            outcome=self.outcome or OutcomeKind.MAY_HAVE_RUN,
            answer=answer,
        )
