"""Define accepted documents and the events of the fold of the `config` stream."""

from typing import Any

import msgspec

from .edits import EditResult
from .ids import Offset, RecordId, Revision, ServiceName


class AcceptedDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the accepted document of a service.

    The document is not validated and may be invalid for this version of the program.
    """

    service: ServiceName
    revision: Revision
    author: str
    document: Any
    record_id: RecordId = RecordId("")
    # Upstream address to the revision since which all accepted documents name it.
    since: dict[str, Revision] = {}


class DocumentAccepted(msgspec.Struct, frozen=True):
    """Report a document newer than the one known before."""

    accepted: AcceptedDocument


class EditDecided(msgspec.Struct, frozen=True):
    """Report the outcome of a change record read from the stream."""

    result: EditResult


class RecordIgnored(msgspec.Struct, frozen=True):
    """Report a record that lacks fields the fold needs."""

    offset: Offset
    reason: str


ConfigEvent = DocumentAccepted | EditDecided | RecordIgnored


class ChangeBody(msgspec.Struct, frozen=True):
    """Hold the fields of a change that the fold uses.

    It is less strict than records.Change, so that a later version of the program may
    extend the record and nodes of both versions still accept the same changes.
    """

    service: ServiceName
    base_revision: int
    author: str = ""
    document: Any = None


class SnapshotBody(msgspec.Struct, frozen=True):
    """Hold the fields of a snapshot that the fold uses; see ChangeBody."""

    service: ServiceName
    revision: Revision
    as_of: Offset
    author: str = ""
    document: Any = None
    change_id: RecordId = RecordId("")
    services: list[str] = []
    since: dict[str, Revision] = {}

    def accepted(self) -> AcceptedDocument:
        """Return the document of the snapshot."""
        return AcceptedDocument(
            service=self.service,
            revision=self.revision,
            author=self.author,
            document=self.document,
            record_id=self.change_id,
            since=self.since,
        )


class PendingChange(msgspec.Struct, frozen=True):
    """Hold a change that a reader cannot accept or reject yet."""

    offset: Offset
    record_id: RecordId
    change: ChangeBody
