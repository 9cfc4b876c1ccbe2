from typing import Any
from unittest import TestCase

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fulmarpulley_core.configuration import (
    AcceptedDocument,
    ConfigFold,
    DocumentAccepted,
    EditDecided,
    RecordIgnored,
)
from fulmarpulley_core.edits import HISTORY_LIMIT
from fulmarpulley_core.ids import Offset, RecordId, Revision, ServiceName
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.http import EditOutcome
from fulmarpulley_schema.generated.records import Record, RecordKind

SERVICES = [ServiceName(name) for name in ("desk", "tutor", "ticket")]
services = st.sampled_from(SERVICES)
picks = st.integers(0, 1 << 16)


def change(record_id: str, service: str, base: int, **more: Any) -> Record:
    body = {"service": service, "base_revision": base, "author": record_id}
    document = {"name": service, "by": record_id}
    body |= {"document": document} | more
    return Record(record_id=record_id, kind=RecordKind.CHANGE, body=body)


class ReferenceLog:
    """Replays all records for each query."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def revisions_at(self, offset: int) -> dict[str, int]:
        current: dict[str, int] = {}
        for index, record in enumerate(self.records[:offset], 1):
            if record.kind is RecordKind.CHANGE:
                service = record.body["service"]
                if record.body["base_revision"] == current.get(service, 0):
                    current[service] = index
        return current

    def accepted(self) -> set[int]:
        ends = range(len(self.records) + 1)
        return {
            revision for end in ends for revision in self.revisions_at(end).values()
        }

    def outcomes(self, offset: int) -> dict[str, str]:
        found: dict[str, str] = {}
        for index, record in enumerate(self.records[:offset], 1):
            if record.kind is RecordKind.CHANGE:
                won = self.revisions_at(index).get(record.body["service"]) == index
                if won or record.record_id not in found:
                    found[record.record_id] = "accepted" if won else "conflict"
        return found


class ConfigMachine(RuleBasedStateMachine):
    """Guards against readers that disagree on the accepted document."""

    def __init__(self) -> None:
        super().__init__()
        self.log = ReferenceLog()
        self.first = 1
        self.readers: list[ConfigFold] = []
        self.seen: list[dict[str, int]] = []
        self.delayed: list[Record] = []
        self.count = 0
        self.start_reader()

    def append(self, record: Record) -> None:
        self.log.records.append(record)

    @rule(service=services, pick=picks, twice=st.booleans())
    def edit(self, service: ServiceName, pick: int, twice: bool) -> None:
        end = len(self.log.records)
        current = self.log.revisions_at(end).get(service, 0)
        # One base in four is not the current one and may even be in the future.
        base = current if pick % 4 else pick // 4 % (end + 4)
        self.count += 1
        record = change(f"r{self.count}", service, base)
        self.append(record)
        if twice:
            self.delayed.append(record)

    @rule(pick=picks)
    def take_snapshots(self, pick: int) -> None:
        writer = self.readers[pick % len(self.readers)]
        for snapshot in writer.snapshots():
            self.count += 1
            body = to_builtins(snapshot)
            kind = RecordKind.SNAPSHOT
            self.delayed.append(
                Record(record_id=f"r{self.count}", kind=kind, body=body)
            )

    @precondition(lambda self: self.delayed)
    @rule(pick=picks, again=st.booleans())
    def append_delayed(self, pick: int, again: bool) -> None:
        index = pick % len(self.delayed)
        record = self.delayed[index] if again else self.delayed.pop(index)
        self.append(record)

    @rule(kind=st.sampled_from(list(RecordKind)), body=st.sampled_from([None, {}]))
    def append_unreadable(self, kind: RecordKind, body: Any) -> None:
        self.count += 1
        if kind is not RecordKind.CHANGE:
            self.append(Record(record_id=f"r{self.count}", kind=kind, body=body))

    @rule(service=services)
    def edit_with_strange_document(self, service: ServiceName) -> None:
        current = self.log.revisions_at(len(self.log.records)).get(service, 0)
        self.count += 1
        self.append(change(f"r{self.count}", service, current, document=[1], new=2))

    @rule(pick=picks)
    def truncate(self, pick: int) -> None:
        self.first += pick % (len(self.log.records) + 2 - self.first)

    @rule()
    def start_reader(self) -> None:
        reader = ConfigFold()
        reader.start_at(Offset(self.first))
        self.readers.append(reader)
        self.seen.append({})

    @rule(pick=picks, count=st.integers(1, 12))
    def read(self, pick: int, count: int) -> None:
        self.read_some(self.readers[pick % len(self.readers)], count)

    def read_some(self, reader: ConfigFold, count: int) -> None:
        reader.start_at(Offset(self.first))
        for offset in range(reader.offset, reader.offset + count):
            if offset < len(self.log.records):
                reader.apply(Offset(offset + 1), self.log.records[offset])

    @rule(pick=picks, other=picks, service=services)
    def add_document(self, pick: int, other: int, service: ServiceName) -> None:
        known = self.readers[other % len(self.readers)].accepted(service)
        if known is not None:
            self.readers[pick % len(self.readers)].add_document(known)

    @rule(pick=picks, other=picks)
    def adopt_peer_state(self, pick: int, other: int) -> None:
        peer = self.readers[other % len(self.readers)]
        if peer.complete:
            reader = self.readers[pick % len(self.readers)]
            reader.adopt_peer_state(peer.documents(), peer.offset)

    @invariant()
    def folded_documents_match_the_replay(self) -> None:
        for reader in self.readers:
            expected = self.log.revisions_at(reader.offset)
            known = {item.service: item.revision for item in reader.documents()}
            if reader.complete:
                assert known == expected
            assert known.items() <= expected.items()
            for item in reader.documents():
                body = self.log.records[item.revision - 1].body
                assert item.document == body["document"]

    @invariant()
    def revisions_never_go_down(self) -> None:
        accepted = self.log.accepted()
        for reader, seen in zip(self.readers, self.seen, strict=True):
            for service in SERVICES:
                item = reader.accepted(service)
                revision = item.revision if item else 0
                assert revision >= seen.get(service, 0)
                assert not revision or revision in accepted
                seen[service] = revision

    @invariant()
    def reported_outcomes_match_the_replay(self) -> None:
        for reader in self.readers:
            for record_id, outcome in self.log.outcomes(reader.offset).items():
                result = reader.outcome_of(RecordId(record_id))
                if reader.first == 1:
                    assert result is not None
                    assert result.outcome == outcome
                elif result and result.outcome is EditOutcome.ACCEPTED:
                    assert outcome == "accepted"

    def teardown(self) -> None:
        # Snapshots by a complete, caught-up reader make every reader complete.
        writers = [reader for reader in self.readers if reader.complete]
        for writer in writers[:1]:
            self.read_some(writer, len(self.log.records))
        if not writers or not writers[0].complete:
            return
        self.delayed.clear()
        self.take_snapshots(self.readers.index(writers[0]))
        for record in self.delayed:
            self.append(record)
        named = self.log.revisions_at(len(self.log.records))
        for reader in self.readers:
            self.read_some(reader, len(self.log.records))
            assert reader.complete or not named


ConfigMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
ConfigMachineTest = ConfigMachine.TestCase


class ConfigFoldTest(TestCase):
    def fold(self, *records: Record, first: int = 1) -> ConfigFold:
        fold = ConfigFold()
        fold.start_at(Offset(first))
        for offset, record in enumerate(records, first):
            fold.apply(Offset(offset), record)
        return fold

    def test_conflict_names_the_winner(self) -> None:
        """Guards against a conflict that does not name the accepted edit's author."""
        fold = self.fold(change("ann", "desk", 0), change("bob", "desk", 0))
        result = fold.outcome_of(RecordId("bob"))
        assert result is not None
        self.assertEqual(result.outcome, EditOutcome.CONFLICT)
        self.assertEqual((result.author, result.revision), ("ann", 1))

    def test_second_copy_of_an_accepted_change_keeps_its_outcome(self) -> None:
        """Guards against `conflict` for an edit repeated after a lost response."""
        record = change("ann", "desk", 0)
        fold = self.fold(record, record)
        result = fold.outcome_of(RecordId("ann"))
        assert result is not None
        self.assertEqual(result.outcome, EditOutcome.ACCEPTED)
        self.assertEqual(len(fold.history(SERVICES[0])), 1)

    def test_outcome_is_known_from_a_snapshot_after_truncation(self) -> None:
        """Guards against `conflict` between a retry and its own first attempt."""
        (snapshot,) = self.fold(change("ann", "desk", 0)).snapshots()
        kind = RecordKind.SNAPSHOT
        record = Record(record_id="s", kind=kind, body=to_builtins(snapshot))
        fold = self.fold(record, change("ann", "desk", 0), first=2)
        result = fold.outcome_of(RecordId("ann"))
        assert result is not None
        self.assertEqual(result.outcome, EditOutcome.ACCEPTED)
        self.assertEqual(fold.history(SERVICES[0]), [])

    def test_apply_of_a_record_again_has_no_effect(self) -> None:
        """Guards against a second event when the log is read again."""
        fold = self.fold(change("ann", "desk", 0))
        self.assertEqual(fold.apply(Offset(1), change("bob", "desk", 1)), [])

    def test_events_report_each_new_document_once(self) -> None:
        """Guards against a node that misses a document or applies it twice."""
        fold = ConfigFold()
        fold.start_at(Offset(1))
        events = fold.apply(Offset(1), change("ann", "desk", 0))
        kinds = [type(event) for event in events]
        self.assertEqual(kinds, [EditDecided, DocumentAccepted])
        events = fold.apply(Offset(2), Record(record_id="x", kind="change", body=3))
        self.assertEqual([type(event) for event in events], [RecordIgnored])

    def test_peer_document_stays_after_the_log_returns(self) -> None:
        """Guards against a revert to an older document while the backlog is read."""
        fold = ConfigFold()
        newer = AcceptedDocument(
            service=SERVICES[0], revision=Revision(5), author="a", document={}
        )
        self.assertEqual(len(fold.add_document(newer)), 1)
        fold.start_at(Offset(1))
        events = fold.apply(Offset(1), change("ann", "desk", 0))
        self.assertNotIn(DocumentAccepted, [type(event) for event in events])
        known = fold.accepted(SERVICES[0])
        assert known is not None
        self.assertEqual(known.revision, 5)

    def test_gap_keeps_documents_and_decides_no_change(self) -> None:
        """Guards against a reader that continues after records it missed."""
        fold = self.fold(change("ann", "desk", 0))
        # The change at offset 2 was truncated unread, so this one is in conflict.
        fold.start_at(Offset(3))
        self.assertEqual(fold.apply(Offset(3), change("bob", "desk", 1)), [])
        known = fold.accepted(SERVICES[0])
        assert known is not None
        self.assertEqual(known.record_id, "ann")
        self.assertFalse(fold.complete)

    def test_outdated_snapshot_changes_nothing(self) -> None:
        """Guards against a revert by a snapshot appended after a newer change."""
        old = self.fold(change("ann", "desk", 0)).snapshots()[0]
        fold = self.fold(change("ann", "desk", 0), change("bob", "desk", 1))
        kind = RecordKind.SNAPSHOT
        record = Record(record_id="s", kind=kind, body=to_builtins(old))
        self.assertEqual(fold.apply(Offset(3), record), [])
        self.assertEqual(fold.documents()[0].record_id, "bob")

    def test_older_document_of_a_peer_changes_nothing(self) -> None:
        """Guards against a revert by a peer that is behind."""
        fold = ConfigFold()
        for revision in (5, 3):
            fold.add_document(
                AcceptedDocument(
                    service=SERVICES[0],
                    revision=Revision(revision),
                    author="a",
                    document={},
                )
            )
        known = fold.accepted(SERVICES[0])
        assert known is not None
        self.assertEqual(known.revision, 5)

    def test_adopted_state_is_the_base_of_later_changes(self) -> None:
        """Guards against a node that starts from a peer's state and rejects changes."""
        peer = self.fold(change("ann", "desk", 0), change("bob", "desk", 0))
        fold = ConfigFold()
        fold.adopt_peer_state(peer.documents(), peer.offset)
        self.assertTrue(fold.complete)
        self.assertEqual(fold.offset, 2)
        fold.apply(Offset(3), change("cid", "desk", 1))
        self.assertEqual(fold.documents()[0].record_id, "cid")

    def test_complete_fold_keeps_outcomes_when_a_peer_is_ahead(self) -> None:
        """Guards against a conflict that is never reported to its operator."""
        records = [change("ann", "desk", 0), change("bob", "desk", 0)]
        peer, fold = self.fold(*records), self.fold()
        events = fold.adopt_peer_state(peer.documents(), peer.offset)
        self.assertEqual([type(event) for event in events], [DocumentAccepted])
        self.assertEqual((fold.offset, fold.known_offset), (0, 2))
        for offset, record in enumerate(records, 1):
            fold.apply(Offset(offset), record)
        result = fold.outcome_of(RecordId("bob"))
        assert result is not None
        self.assertEqual(result.outcome, EditOutcome.CONFLICT)

    def test_document_a_peer_did_not_fold_is_not_adopted(self) -> None:
        """Guards against `conflict` for the change that contains the document."""
        ahead = self.fold(change("ann", "desk", 0), change("bob", "desk", 1))
        fold = ConfigFold()
        fold.adopt_peer_state(ahead.documents(), Offset(1))
        self.assertFalse(fold.complete)
        known = fold.accepted(SERVICES[0])
        assert known is not None
        self.assertEqual(known.record_id, "bob")
        fold.apply(Offset(2), change("bob", "desk", 1))
        self.assertEqual(fold.documents(), [])

    def test_buffered_change_below_the_snapshot_is_not_folded(self) -> None:
        """Guards against a change with a future base accepted after a truncation."""
        whole = self.fold(
            change("a", "tutor", 0),
            change("ann", "desk", 3),
            change("bob", "desk", 0),
        )
        fold = self.fold(change("ann", "desk", 3), change("bob", "desk", 0), first=2)
        for offset, snapshot in enumerate(whole.snapshots(), 4):
            kind, body = RecordKind.SNAPSHOT, to_builtins(snapshot)
            record = Record(record_id=f"s{offset}", kind=kind, body=body)
            fold.apply(Offset(offset), record)
        self.assertEqual(fold.documents(), whole.documents())

    def test_history_is_bounded(self) -> None:
        """Guards against memory that grows with every edit."""
        fold = ConfigFold()
        for offset in range(1, HISTORY_LIMIT + 50):
            fold.apply(Offset(offset), change(f"r{offset}", "desk", offset - 1))
        self.assertEqual(len(fold.history(SERVICES[0])), HISTORY_LIMIT)
        self.assertIsNone(fold.outcome_of(RecordId("r1")))
