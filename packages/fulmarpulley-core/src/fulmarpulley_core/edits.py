"""Keep the last edits of each service and their outcomes."""

from collections import deque

import msgspec

from fulmarpulley_schema.generated.http import EditOutcome, HistoryEntry

from .ids import RecordId, Revision, ServiceName

# Edits kept for each service, which bounds the memory of a node.
HISTORY_LIMIT = 256


class EditResult(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the outcome of an edit; in a conflict, the current revision and author."""

    record_id: RecordId
    service: ServiceName
    outcome: EditOutcome
    revision: Revision
    author: str


class EditHistory:
    """Keep edits in offset order, and outcomes by record id."""

    def __init__(self) -> None:
        self._entries: dict[ServiceName, deque[HistoryEntry]] = {}
        self._results: dict[RecordId, EditResult] = {}

    def of_service(self, service: ServiceName) -> list[HistoryEntry]:
        """List the kept edits of a service, oldest first."""
        return list(self._entries.get(service, ()))

    def result(self, record_id: RecordId) -> EditResult | None:
        """Return the outcome of an edit, or None if it is not kept."""
        return self._results.get(record_id)

    def add(self, entry: HistoryEntry, result: EditResult) -> None:
        """Add an edit and drop the oldest one beyond the limit."""
        entries = self._entries.setdefault(result.service, deque())
        entries.append(entry)
        self._results[result.record_id] = result
        if len(entries) > HISTORY_LIMIT:
            self._results.pop(RecordId(entries.popleft().record_id), None)
