"""Define accepted documents and what the fold of the `config` stream reports."""

from typing import Any

import msgspec

from .edits import EditResult
from .ids import Offset, RecordId, Revision, ServiceName


class AcceptedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the accepted document of a service; it may be unreadable to this node."""

    service: ServiceName
    revision: Revision
    author: str
    document: Any
    record_id: RecordId = RecordId("")
    # Address of an upstream to the accepted change that named it first.
    since: dict[str, Revision] = {}


class DocumentAccepted(msgspec.Struct, frozen=True):
    """Report a document that is newer than the one known before."""

    accepted: AcceptedDocument


class EditDecided(msgspec.Struct, frozen=True):
    """Report the outcome of a change record read from the stream."""

    result: EditResult


class RecordIgnored(msgspec.Struct, frozen=True):
    """Report a record without the fields that the fold needs."""

    offset: Offset
    reason: str


ConfigEvent = DocumentAccepted | EditDecided | RecordIgnored


class ChangeBody(msgspec.Struct, frozen=True):
    """Hold what the fold needs of a change.

    It is looser than records.Change, so that a later version of the program may
    extend the record and nodes of both versions still accept the same changes.
    """

    service: ServiceName
    base_revision: int
    author: str = ""
    document: Any = None


class SnapshotBody(msgspec.Struct, frozen=True):
    """Hold what the fold needs of a snapshot, as loosely as of a change."""

    service: ServiceName
    revision: Revision
    as_of: Offset
    author: str = ""
    document: Any = None
    change_id: RecordId = RecordId("")
    services: list[str] = []
    since: dict[str, Revision] = {}

    def accepted(self) -> AcceptedDocument:
        """Return the document that the snapshot states."""
        return AcceptedDocument(
            service=self.service,
            revision=self.revision,
            author=self.author,
            document=self.document,
            record_id=self.change_id,
            since=self.since,
        )


class PendingChange(msgspec.Struct, frozen=True):
    """Hold a change that a reader cannot judge yet."""

    offset: Offset
    record_id: RecordId
    change: ChangeBody
