"""Fold the `config` stream into the accepted document of each service.

A change is accepted if and only if its base revision is the current one. The content
of the document and the record id play no part, so that readers with different software
or different start offsets agree. A duplicate of an accepted change is always rejected,
because its base is below the new revision.

A reader that starts in the middle of the stream cannot decide on a change until it
knows the service's revision at some offset at or after its start. Snapshots provide it:
`as_of` is the offset for which a snapshot holds, however late it was appended, so
concurrent and duplicate snapshots cannot contradict the fold. The list of services in a
snapshot shows which services did not exist then, and when the reader knows all of them.
"""

from typing import Any

import msgspec

from fulmarpulley_schema.generated.http import EditOutcome, HistoryEntry
from fulmarpulley_schema.generated.records import Record, RecordKind, Snapshot

from .config_events import (
    AcceptedDocument,
    ChangeBody,
    ConfigEvent,
    DocumentAccepted,
    EditDecided,
    PendingChange,
    RecordIgnored,
    SnapshotBody,
)
from .edits import EditHistory, EditResult
from .holders import named_since
from .ids import Offset, RecordId, Revision, ServiceName

__all__ = [
    "AcceptedDocument",
    "ConfigEvent",
    "ConfigFold",
    "DocumentAccepted",
    "EditDecided",
    "RecordIgnored",
]


class ConfigFold:
    """Apply records in offset order; offsets start at 1 and have no gaps."""

    def __init__(self) -> None:
        self.offset = Offset(0)
        # Offset up to which documents are known, from the stream or complete peers.
        self.known_offset = Offset(0)
        self.first: Offset | None = None
        self._folded: dict[ServiceName, AcceptedDocument] = {}
        # Accepted documents from peers, from old snapshots and from before a gap.
        self._unfolded: dict[ServiceName, AcceptedDocument] = {}
        self._pending: dict[ServiceName, list[PendingChange]] = {}
        self._existing_services: frozenset[str] | None = None
        self._edits = EditHistory()

    @property
    def complete(self) -> bool:
        """Return whether every service that exists at `offset` is known."""
        return (
            self._existing_services is not None
            and self._existing_services <= self._folded.keys()
        )

    def accepted(self, service: ServiceName) -> AcceptedDocument | None:
        """Return the newest accepted document known from the log or a peer."""
        folded, learned = self._folded.get(service), self._unfolded.get(service)
        if folded is None or (learned and learned.revision > folded.revision):
            return learned
        return folded

    def services(self) -> list[ServiceName]:
        """List the services with a known document."""
        return sorted(self._folded.keys() | self._unfolded.keys())

    def history(self, service: ServiceName) -> list[HistoryEntry]:
        """List the last edits of a service read from the log, oldest first."""
        return self._edits.of_service(service)

    def outcome_of(self, record_id: RecordId) -> EditResult | None:
        """Return the outcome of an edit, or None while it is not decided."""
        known = self._edits.result(record_id)
        if known is not None:
            return known
        for accepted in self._folded.values():
            # The change itself may be truncated, with only a snapshot of it left.
            if record_id and accepted.record_id == record_id:
                return _result(record_id, accepted.service, accepted, True)
        return None

    def start_at(self, first_offset: Offset) -> None:
        """Set the first offset that the log still keeps.

        This has no effect unless there is a gap after the last record read. After a
        gap all known documents stay, but changes are not decided until snapshots at or
        after the new start have been read.
        """
        if self.first is not None and first_offset <= self.offset + 1:
            return
        for accepted in self._folded.values():
            self._keep_unfolded(accepted)
        self.first = Offset(max(first_offset, 1))
        self.offset = Offset(self.first - 1)
        self._folded.clear()
        self._pending.clear()
        self._existing_services = frozenset() if self.first == 1 else None

    def apply(self, offset: Offset, record: Record) -> list[ConfigEvent]:
        """Apply one record; records at or below `offset` have no effect."""
        if not self._advance(offset):
            return []
        try:
            return self._apply_body(offset, record)
        except msgspec.ValidationError as error:
            return [RecordIgnored(offset, str(error))]

    def skip(self, offset: Offset, reason: str) -> list[ConfigEvent]:
        """Skip a record whose frame cannot be decoded."""
        return [RecordIgnored(offset, reason)] if self._advance(offset) else []

    def add_document(self, accepted: AcceptedDocument) -> list[ConfigEvent]:
        """Add a document that was accepted elsewhere, unless a newer one is known."""
        before = self.accepted(accepted.service)
        self._keep_unfolded(accepted)
        return self._report_if_newer(accepted.service, before)

    def adopt_peer_state(
        self, documents: list[AcceptedDocument], as_of: Offset
    ) -> list[ConfigEvent]:
        """Adopt the whole state of a complete peer that folded up to `as_of`.

        A complete fold only adds the documents and continues at its own offset in
        the stream; skipping ahead would lose the outcomes of the edits in between.
        """
        events: list[ConfigEvent] = []
        self.known_offset = max(self.known_offset, as_of)
        if self.complete:
            for accepted in documents:
                events += self.add_document(accepted)
            return events
        if as_of > self.offset or self.first is None:
            self.start_at(Offset(as_of + 1))
        for accepted in documents:
            # The peer has a revision above as_of from another peer, not from its fold.
            folded = accepted.revision <= as_of
            events += (
                self._set_base(accepted, as_of)
                if folded
                else self.add_document(accepted)
            )
        if not self.complete:
            events += self._set_existing_services(
                [accepted.service for accepted in documents], as_of
            )
        return events

    def documents(self) -> list[AcceptedDocument]:
        """List the folded documents, which a peer can adopt as of `offset`."""
        return [self._folded[service] for service in sorted(self._folded)]

    def snapshots(self) -> list[Snapshot]:
        """Return a snapshot of every service; empty unless the fold is complete."""
        if not self.complete:
            return []
        services = [str(service) for service in sorted(self._folded)]
        return [
            Snapshot(
                service=accepted.service,
                revision=accepted.revision,
                author=accepted.author,
                document=accepted.document,
                as_of=self.offset,
                change_id=accepted.record_id,
                services=services,
                since=dict(accepted.since),
            )
            for accepted in self.documents()
        ]

    def _advance(self, offset: Offset) -> bool:
        if self.first is None or offset > self.offset + 1:
            self.start_at(offset)
        if offset <= self.offset:
            return False
        self.offset = offset
        self.known_offset = max(self.known_offset, offset)
        return True

    def _apply_body(self, offset: Offset, record: Record) -> list[ConfigEvent]:
        if record.kind is RecordKind.CHANGE:
            change = msgspec.convert(record.body, ChangeBody)
            pending = PendingChange(offset, RecordId(record.record_id), change)
            return self._apply_change(pending)
        if record.kind is RecordKind.SNAPSHOT:
            snapshot = msgspec.convert(record.body, SnapshotBody)
            return self._apply_snapshot(offset, snapshot)
        return [RecordIgnored(offset, f"unexpected record kind {record.kind}")]

    def _apply_change(self, pending: PendingChange) -> list[ConfigEvent]:
        service = pending.change.service
        if service in self._folded or self._is_new(service):
            return self._decide(pending)
        self._pending.setdefault(service, []).append(pending)
        return []

    def _is_new(self, service: ServiceName) -> bool:
        return (
            self._existing_services is not None
            and service not in self._existing_services
        )

    def _decide(self, pending: PendingChange) -> list[ConfigEvent]:
        change, service = pending.change, pending.change.service
        current = self._folded.get(service)
        accept = change.base_revision == (current.revision if current else 0)
        if not accept:
            return self._record(pending, current, False)
        before = self.accepted(service)
        new = AcceptedDocument(
            service=service,
            revision=Revision(pending.offset),
            author=change.author,
            document=change.document,
            record_id=pending.record_id,
            since=named_since(current, change.document, Revision(pending.offset)),
        )
        self._folded[service] = new
        return self._record(pending, new, True) + self._report_if_newer(service, before)

    def _record(
        self, pending: PendingChange, winner: AcceptedDocument | None, accept: bool
    ) -> list[ConfigEvent]:
        service, record_id = pending.change.service, pending.record_id
        if not accept and self.outcome_of(record_id) is not None:
            return []
        result = _result(record_id, service, winner, accept)
        entry = HistoryEntry(
            offset=pending.offset,
            record_id=record_id,
            author=pending.change.author,
            base_revision=pending.change.base_revision,
            outcome=result.outcome,
        )
        self._edits.add(entry, result)
        return [EditDecided(result)]

    def _apply_snapshot(
        self, offset: Offset, snapshot: SnapshotBody
    ) -> list[ConfigEvent]:
        if snapshot.as_of >= offset or snapshot.revision > snapshot.as_of:
            return [
                RecordIgnored(
                    offset, "snapshot refers to offsets that are not written yet"
                )
            ]
        events = self._set_base(snapshot.accepted(), snapshot.as_of)
        if self._existing_services is None and snapshot.services:
            events += self._set_existing_services(snapshot.services, snapshot.as_of)
        return events

    def _set_base(self, accepted: AcceptedDocument, as_of: Offset) -> list[ConfigEvent]:
        if self.first is None or as_of < self.first - 1:
            # Too old as a base for changes, but the document was accepted once.
            return self.add_document(accepted)
        if accepted.service in self._folded or self._is_new(accepted.service):
            return []
        before = self.accepted(accepted.service)
        self._folded[accepted.service] = accepted
        events = self._report_if_newer(accepted.service, before)
        return events + self._decide_pending(accepted.service, as_of)

    def _set_existing_services(
        self, services: list[Any], as_of: Offset
    ) -> list[ConfigEvent]:
        if self.first is None or as_of < self.first - 1:
            return []
        self._existing_services = frozenset(services)
        events: list[ConfigEvent] = []
        for service in sorted(self._pending.keys() - self._existing_services):
            events += self._decide_pending(service, as_of)
        return events

    def _decide_pending(self, service: ServiceName, as_of: Offset) -> list[ConfigEvent]:
        events: list[ConfigEvent] = []
        for pending in self._pending.pop(service, []):
            if pending.offset > as_of:
                events += self._decide(pending)
        return events

    def _report_if_newer(
        self, service: ServiceName, before: AcceptedDocument | None
    ) -> list[ConfigEvent]:
        now = self.accepted(service)
        if now is None or (before and now.revision <= before.revision):
            return []
        return [DocumentAccepted(now)]

    def _keep_unfolded(self, accepted: AcceptedDocument) -> None:
        known = self._unfolded.get(accepted.service)
        if known is None or accepted.revision > known.revision:
            self._unfolded[accepted.service] = accepted


def _result(
    record_id: RecordId,
    service: ServiceName,
    winner: AcceptedDocument | None,
    accept: bool,
) -> EditResult:
    return EditResult(
        record_id=record_id,
        service=service,
        outcome=EditOutcome.ACCEPTED if accept else EditOutcome.CONFLICT,
        revision=winner.revision if winner else Revision(0),
        author=winner.author if winner else "",
    )
