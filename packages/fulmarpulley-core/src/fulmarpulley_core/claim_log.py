"""Fold the records of one claim partition; the state depends on the stream only.

An issued key contains an offset, and claims for it are stored at that offset or above.
Every reader that started at or below the offset has therefore read all claims for the
key, so all these readers agree on the current claim.
"""

import heapq
from typing import Any

import msgspec

from fulmarpulley_schema.generated.records import ClaimEntry, OutcomeEntry, OutcomeKind

from .claim_messages import ServiceKey
from .ids import Offset, Partition, RequestKey, ServiceName
from .request_keys import parse_key

# An outcome replaces an earlier one of lower rank for the same claim.
_OUTCOME_RANK = {
    None: 0,
    OutcomeKind.MAY_HAVE_RUN: 1,
    OutcomeKind.RAN: 2,
    OutcomeKind.ANSWERED: 3,
}


class KeyState(msgspec.Struct):
    """Hold the current claim of a key and the ids of all claims read for it.

    The entry expires when the stream no longer keeps the offset `expires_below`.
    """

    expires_below: Offset
    current: ClaimEntry | None = None
    outcome: OutcomeKind | None = None
    answer: dict[str, Any] | None = None
    holder_gone: bool = False
    seen_claim_ids: set[str] = msgspec.field(default_factory=set)

    @property
    def open(self) -> bool:
        """Return whether the request of the current claim is not known to have run."""
        return self.current is not None and _OUTCOME_RANK[self.outcome] < 2


class ClaimLog:
    """Hold the state of each key; `start` is the first offset of the reader.

    `first` is the first offset that the stream keeps. `open_claims` holds the ids of
    the current claims whose request is not known to have run.
    """

    def __init__(self, partition: Partition) -> None:
        self.partition = partition
        self.start: Offset | None = None
        self.offset = Offset(0)
        self.first = Offset(0)
        self.keys: dict[ServiceKey, KeyState] = {}
        self.open_claims: dict[ServiceKey, str] = {}
        self._expiry: list[tuple[Offset, str, str]] = []

    def set_first_offset(self, first: Offset) -> list[ServiceKey]:
        """Set the first offset that the stream keeps; return the expired keys."""
        self.first = max(self.first, first)
        if self.start is None or first > self.offset + 1:
            self.start = first
            self.offset = Offset(first - 1)
        return self._expire()

    def advance(self, offset: Offset) -> bool:
        """Advance to an offset; return False if it was read before."""
        if self.start is None or offset > self.offset + 1:
            self.set_first_offset(offset)
        if offset <= self.offset:
            return False
        self.offset = offset
        return True

    def expired(self, key: str) -> bool:
        """Return whether this reader may have missed claims for an issued key."""
        issued = parse_key(key)
        low = max(self.first, self.start or Offset(0))
        return issued is not None and issued.offset < low

    def forged(self, key: str) -> bool:
        """Return whether a key has a wrong partition or an offset not reached yet."""
        issued = parse_key(key)
        if issued is None:
            return False
        return issued.partition != self.partition or issued.offset > self.offset

    def claim(self, entry: ClaimEntry) -> bool:
        """Apply a claim; return whether it became the current one of its key.

        Only the first copy of a claim counts. A copy that arrives after the claim was
        rejected or closed would block the key with a claim that no node runs.
        """
        key = key_of(entry)
        key_state = self._get_or_create(key)
        if entry.claim_id in key_state.seen_claim_ids:
            return False
        key_state.seen_claim_ids.add(entry.claim_id)
        if not self._can_claim(key_state, entry):
            return False
        key_state.current = entry
        key_state.outcome = None
        key_state.answer = None
        key_state.holder_gone = False
        self.open_claims[key] = entry.claim_id
        if parse_key(entry.key) is None:
            key_state.expires_below = self.offset
        return True

    def outcome(self, entry: OutcomeEntry) -> bool:
        """Apply an outcome; return whether it changes the state of its key."""
        key = key_of(entry)
        not_run = entry.outcome is OutcomeKind.NOT_RUN
        key_state = self.keys.get(key)
        if key_state is None or not self._is_current(key_state, entry):
            if not_run and not self.expired(entry.key):
                # The outcome arrived before its claim, which must not count any more.
                self._get_or_create(key).seen_claim_ids.add(entry.claim_id)
            return False
        if not_run:
            return self._close(key, key_state)
        if _OUTCOME_RANK[entry.outcome] <= _OUTCOME_RANK[key_state.outcome]:
            return False
        key_state.outcome = entry.outcome
        key_state.answer = entry.answer
        if not key_state.open:
            self.open_claims.pop(key, None)
        return True

    def _is_current(self, key_state: KeyState, entry: OutcomeEntry) -> bool:
        current = key_state.current
        return current is not None and current.claim_id == entry.claim_id

    def _close(self, key: ServiceKey, key_state: KeyState) -> bool:
        if not key_state.open:
            return False
        key_state.current = None
        key_state.outcome = None
        self.open_claims.pop(key, None)
        return True

    def _can_claim(self, key_state: KeyState, entry: ClaimEntry) -> bool:
        if self.forged(entry.key) or self.expired(entry.key):
            return False
        current = key_state.current
        if current is None:
            return True
        # The new holder runs the request again; the answer of either run is valid.
        unanswered = key_state.outcome is not OutcomeKind.ANSWERED
        return unanswered and current.repeatable and entry.repeatable

    def _get_or_create(self, key: ServiceKey) -> KeyState:
        key_state = self.keys.get(key)
        if key_state is None:
            issued = parse_key(key.key)
            expires_below = issued.offset if issued is not None else self.offset
            key_state = self.keys[key] = KeyState(expires_below)
            heapq.heappush(self._expiry, (expires_below, key.service, key.key))
        return key_state

    def _expire(self) -> list[ServiceKey]:
        expired: list[ServiceKey] = []
        while self._expiry and self._expiry[0][0] < self.first:
            _, service, text = heapq.heappop(self._expiry)
            key = ServiceKey(ServiceName(service), RequestKey(text))
            expires_below = self.keys[key].expires_below
            if expires_below >= self.first:
                heapq.heappush(self._expiry, (expires_below, service, text))
                continue
            del self.keys[key]
            self.open_claims.pop(key, None)
            expired.append(key)
        return expired


def key_of(entry: ClaimEntry | OutcomeEntry) -> ServiceKey:
    """Return the key of an entry."""
    return ServiceKey(ServiceName(entry.service), RequestKey(entry.key))
