"""Decide which node runs a keyed request, from the claims of one partition.

A request that is not repeatable runs only after its holder has read its own claim back
from the log as the current one. Another claim can follow only after the outcome
`not_run`, which a holder records only if it never passes the request to a pool home, or
if its only pool home refused the request. A `not_run` report refers to the claim under
which it is made, not to the key.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.records import (
    ClaimEntry,
    Claims,
    OutcomeEntry,
    OutcomeKind,
    Outcomes,
    Record,
    RecordKind,
)

from .claim_log import ClaimLog, KeyState, key_of
from .claim_messages import (
    AppendClaim,
    AppendOutcome,
    ClaimDecision,
    ClaimEnd,
    ClaimEvent,
    ClaimRefused,
    ClaimWon,
    KeyChanged,
    OwnClaim,
    OwnClaimState,
    RecordUnreadable,
    RefuseKey,
    ReturnAnswer,
    ServiceKey,
    WaitForOutcome,
)
from .ids import NodeId, Offset, Partition, RequestKey
from .own_claims import OwnClaims, outcome_to_append
from .request_keys import IssuedKey, parse_key

_BAD_KEY = RefuseKey("bad_request", Ran.NOT_RUN)
_EXPIRED = RefuseKey("key_expired", Ran.MAY_HAVE_RUN)
_MAY_HAVE_RUN = RefuseKey("upstream_broken", Ran.MAY_HAVE_RUN)
_RAN = RefuseKey("upstream_error", Ran.RAN)


class ClaimTable:
    """Decide for one node; `start_id` is unique for each start of the node."""

    def __init__(self, partition: Partition, node_id: NodeId, start_id: str) -> None:
        self.node_id = node_id
        self.log = ClaimLog(partition)
        self.own = OwnClaims(node_id, start_id)
        self._alive: frozenset[NodeId] | None = None

    @property
    def offset(self) -> Offset:
        """Return the offset of the last record read."""
        return self.log.offset

    def issue_key(self, random_text: str) -> RequestKey | None:
        """Issue a key, or return None if the stream has not been read yet."""
        if self.log.start is None:
            return None
        next_offset = Offset(self.log.offset + 1)
        return IssuedKey(self.log.partition, next_offset, random_text).text()

    def request(
        self, key: ServiceKey, fingerprint: str, repeatable: bool = False
    ) -> ClaimDecision:
        """Decide on a request; requests told to wait ask again after KeyChanged."""
        issued = parse_key(key.key)
        if issued is None and not repeatable:
            return _BAD_KEY
        if issued is not None and issued.partition != self.log.partition:
            return _BAD_KEY
        if self._fingerprint(key) not in {None, fingerprint}:
            return RefuseKey("key_reused", Ran.NOT_RUN)
        known = self._decide_known(key, repeatable)
        if known is not None:
            return known
        if self.log.expired(key.key):
            return _EXPIRED
        own = self.own.add(key, fingerprint, repeatable)
        return AppendClaim(own.entry, run_immediately=repeatable)

    def fetch(self, key: ServiceKey) -> ClaimDecision:
        """Return what is known about a key without claiming it."""
        known = self._decide_known(key, False)
        if known is not None:
            return known
        if self.log.expired(key.key):
            return _EXPIRED
        if self.log.start is None:
            return RefuseKey("log_unavailable", Ran.MAY_HAVE_RUN)
        return RefuseKey("unknown_key", Ran.NOT_RUN)

    def begin(self, claim_id: str) -> bool:
        """Mark the request as passed to a pool home.

        False means that it must not be passed on.
        """
        own = self.own.get(claim_id)
        if own is None or own.state is not OwnClaimState.WON:
            return False
        if self.log.expired(own.key.key):
            return False
        own.state = OwnClaimState.RUNNING
        return True

    def cancel_append(self, claim_id: str) -> None:
        """Drop a claim that was never passed to the log client."""
        own = self.own.get(claim_id)
        if own is not None and own.state is OwnClaimState.PENDING:
            self.own.drop(own)

    def abandon(self, claim_id: str) -> ClaimEnd:
        """Abandon a claim; only a request that was not begun counts as `not_run`."""
        return self.own.abandon(claim_id)

    def finish(
        self,
        claim_id: str,
        outcome: OutcomeKind,
        answer: dict[str, Any] | None = None,
    ) -> ClaimEnd:
        """Record the outcome of a running request.

        Pass `not_run` only if the request was sent to a single pool home and that
        home refused it without running it.
        """
        return self.own.finish(claim_id, outcome, answer)

    def set_first_offset(self, first: Offset) -> list[ClaimEvent]:
        """Set the first offset that the stream still keeps."""
        before = self.log.first
        events: list[ClaimEvent] = [
            KeyChanged(k) for k in self.log.set_first_offset(first)
        ]
        if self.log.first == before:
            return events
        # Claims for an expired key may be among the truncated records.
        for own in self.own.ended_or_pending():
            if self.log.expired(own.key.key):
                self.own.drop(own)
                if own.state is OwnClaimState.PENDING:
                    events.append(ClaimRefused(own.key, own.entry.claim_id, _EXPIRED))
        return events

    def members_changed(self, present: Iterable[NodeId]) -> list[ClaimEvent]:
        """Set the nodes that are not dead; requests claimed by others may have run."""
        self._alive = frozenset(present)
        events: list[ClaimEvent] = []
        for key, claim_id in list(self.log.open_claims.items()):
            current = self.log.keys[key].current
            if current is not None and current.holder not in self._alive:
                events += self.mark_holder_gone(key, claim_id)
        return events

    def mark_holder_gone(self, key: ServiceKey, claim_id: str) -> list[ClaimEvent]:
        """Record that the holder is dead or does not know its claim."""
        key_state = self.log.keys.get(key)
        if key_state is None or key_state.current is None or key_state.holder_gone:
            return []
        if key_state.current.claim_id != claim_id or claim_id in self.own:
            return []
        key_state.holder_gone = True
        return [KeyChanged(key)]

    def apply(self, offset: Offset, record: Record) -> list[ClaimEvent]:
        """Apply the next record of the stream."""
        events: list[ClaimEvent] = []
        if self.log.start is None or offset > self.log.offset + 1:
            events = self.set_first_offset(offset)
        if not self.log.advance(offset):
            return events
        try:
            return events + self._apply_body(record)
        except msgspec.ValidationError as error:
            return [*events, RecordUnreadable(f"offset {offset}: {error}")]

    def _apply_body(self, record: Record) -> list[ClaimEvent]:
        events: list[ClaimEvent] = []
        if record.kind is RecordKind.CLAIMS:
            for claim in msgspec.convert(record.body, Claims).entries:
                events += self._apply_claim(claim)
        elif record.kind is RecordKind.OUTCOMES:
            for outcome in msgspec.convert(record.body, Outcomes).entries:
                events += self._apply_outcome(outcome)
        return events

    def _apply_claim(self, entry: ClaimEntry) -> list[ClaimEvent]:
        current = self.log.claim(entry)
        own = self.own.get(entry.claim_id)
        if own is None:
            return [KeyChanged(key_of(entry))] if current else []
        if own.read_back:
            return []
        own.read_back = True
        return self._apply_won(own) if current else self._apply_lost(own)

    def _apply_won(self, own: OwnClaim) -> list[ClaimEvent]:
        if own.state is OwnClaimState.PENDING:
            own.state = OwnClaimState.WON
            return [ClaimWon(own.key, own.entry.claim_id)]
        if own.state is OwnClaimState.RUNNING:
            return []
        # The outcome was appended before its claim, so readers ignored it.
        return [AppendOutcome(outcome_to_append(own))]

    def _apply_lost(self, own: OwnClaim) -> list[ClaimEvent]:
        claim_id, state = own.entry.claim_id, own.state
        if state not in {OwnClaimState.PENDING, OwnClaimState.ABANDONED}:
            return []
        self.own.drop(own)
        if state is OwnClaimState.ABANDONED:
            return []
        if self.log.expired(own.key.key):
            return [ClaimRefused(own.key, claim_id, _EXPIRED)]
        if self.log.forged(own.key.key):
            return [ClaimRefused(own.key, claim_id, _BAD_KEY)]
        return [KeyChanged(own.key)]

    def _apply_outcome(self, entry: OutcomeEntry) -> list[ClaimEvent]:
        changed = self.log.outcome(entry)
        own = self.own.get(entry.claim_id)
        if own is not None and _outcome_is_logged(own, entry, changed):
            self.own.drop(own)
        return [KeyChanged(key_of(entry))] if changed else []

    def _fingerprint(self, key: ServiceKey) -> str | None:
        key_state = self.log.keys.get(key)
        if key_state is not None and key_state.current is not None:
            return key_state.current.fingerprint
        own = self.own.newest(key)
        return own.entry.fingerprint if own is not None else None

    def _decide_known(self, key: ServiceKey, repeatable: bool) -> ClaimDecision | None:
        key_state = self.log.keys.get(key)
        current = key_state.current if key_state is not None else None
        if key_state is not None and key_state.answer is not None:
            return ReturnAnswer(key_state.answer)
        own = self.own.newest(key)
        if own is not None:
            decision = self._decide_from_own(own, repeatable)
            if decision is not None:
                return decision
        if key_state is None or current is None:
            return None
        return self._decide_from_log(key_state, current, repeatable)

    def _decide_from_own(self, own: OwnClaim, repeatable: bool) -> ClaimDecision | None:
        if own.state is not OwnClaimState.FINISHED:
            return WaitForOutcome(self.node_id, own.entry.claim_id)
        if own.answer is not None:
            return ReturnAnswer(own.answer)
        if repeatable:
            return None
        return _MAY_HAVE_RUN if own.outcome is OutcomeKind.MAY_HAVE_RUN else _RAN

    def _decide_from_log(
        self, key_state: KeyState, current: ClaimEntry, repeatable: bool
    ) -> ClaimDecision | None:
        holder = NodeId(current.holder)
        if key_state.outcome is OutcomeKind.ANSWERED:
            # The answer is too large for the log; only its holder has it.
            if not self._holder_is_gone(key_state, current) and holder != self.node_id:
                return WaitForOutcome(holder, current.claim_id)
            return None if repeatable else _RAN
        if key_state.outcome is OutcomeKind.RAN:
            return None if repeatable else _RAN
        waits = key_state.outcome is None and not self._holder_is_gone(
            key_state, current
        )
        if waits:
            return WaitForOutcome(holder, current.claim_id)
        return None if repeatable else _MAY_HAVE_RUN

    def _holder_is_gone(self, key_state: KeyState, current: ClaimEntry) -> bool:
        if current.claim_id in self.own:
            return False
        holder = NodeId(current.holder)
        # A claim of this node that is not in `own` was made before a restart, so no
        # process holds it any more.
        dead = self._alive is not None and holder not in self._alive
        if holder == self.node_id or dead:
            # Callers may have been told already, so the state stays even if the
            # holder comes back.
            key_state.holder_gone = True
        return key_state.holder_gone


def _outcome_is_logged(own: OwnClaim, entry: OutcomeEntry, changed: bool) -> bool:
    if entry.outcome is OutcomeKind.NOT_RUN:
        return own.state is OwnClaimState.ABANDONED
    if not changed or entry.outcome is OutcomeKind.MAY_HAVE_RUN:
        return False
    return own.answer is None or entry.answer is not None
