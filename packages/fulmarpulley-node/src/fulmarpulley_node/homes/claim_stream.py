"""Apply the log stream of one partition to its claim table."""

import asyncio

from result import Err, Ok

from fulmarpulley_core.claim_messages import (
    AppendOutcome,
    ClaimEvent,
    ClaimRefused,
    ClaimWon,
    KeyChanged,
    RecordUnreadable,
    RefuseKey,
    ServiceKey,
)
from fulmarpulley_core.claims import ClaimTable
from fulmarpulley_core.ids import NodeId, Offset, Partition
from fulmarpulley_schema.generated.records import OutcomeEntry
from fulmarpulley_schema.generated.upstream import LogPage

from ..background_tasks import BackgroundTasks
from ..log_client import PAGE_RECORDS, LogClient, read_record
from ..observe.events import log_event

OUTCOME_RETRY_S = 1.0


class ClaimStream:
    """Read the claims of one partition from the log and append outcomes."""

    def __init__(
        self, log: LogClient, partition: Partition, node_id: NodeId, start_id: str
    ) -> None:
        self.log = log
        self.name = f"claims-{partition}"
        self.table = ClaimTable(partition, node_id, start_id)
        self.refusals: dict[str, RefuseKey] = {}
        self.caught_up = asyncio.Event()
        self.tasks = BackgroundTasks()
        self._change_events: dict[ServiceKey, asyncio.Event] = {}

    def start(self) -> None:
        """Start reading the stream."""
        self.tasks.supervise(self._tail)

    async def stop(self) -> None:
        """Stop reading and all other tasks of the partition."""
        await self.tasks.stop()

    async def read_to_end(self) -> bool:
        """Read up to the current end; return False if the log cannot be read."""
        while True:
            page = await self.log.read(self.name, self.table.offset + 1)
            if isinstance(page, Err):
                return False
            self._apply_page(page.ok_value)
            if not page.ok_value.records:
                return True

    def has_pending_tasks(self) -> bool:
        """Tell whether any task other than the stream reader is running."""
        return len(self.tasks.tasks) > 1

    def members_changed(self, live_nodes: list[NodeId]) -> None:
        """Set the nodes that are not known to be dead."""
        self._handle_events(self.table.members_changed(live_nodes))

    def mark_holder_gone(self, key: ServiceKey, claim_id: str) -> None:
        """Record that the holder of a claim does not know it."""
        self._handle_events(self.table.mark_holder_gone(key, claim_id))

    def change_event(self, key: ServiceKey) -> asyncio.Event:
        """Return an event that is set at the next change of a key."""
        return self._change_events.setdefault(key, asyncio.Event())

    def append_outcome(self, entry: OutcomeEntry) -> None:
        """Append an outcome in the background, retrying until the log accepts it."""
        self.tasks.spawn(self._append_outcome(entry))

    async def _append_outcome(self, entry: OutcomeEntry) -> None:
        while True:
            result = await self.log.append_outcome(self.name, entry)
            if isinstance(result, Ok):
                return
            await asyncio.sleep(OUTCOME_RETRY_S)

    async def _tail(self) -> None:
        # A reader that is restarted goes on after the last record that was applied.
        async for page in self.log.tail(self.name, self.table.offset + 1):
            if isinstance(page, Ok):
                self._apply_page(page.ok_value)

    def _apply_page(self, page: LogPage) -> None:
        self._handle_events(self.table.set_first_offset(Offset(page.first)))
        for item in page.records:
            record = read_record(item.data)
            if isinstance(record, Ok):
                offset = Offset(item.offset)
                self._handle_events(self.table.apply(offset, record.ok_value))
            else:
                self.table.log.advance(Offset(item.offset))
                log_event("claim_record_ignored", reason=record.err_value)
        if len(page.records) < PAGE_RECORDS:
            self.caught_up.set()

    def _handle_events(self, events: list[ClaimEvent]) -> None:
        for event in events:
            if isinstance(event, ClaimRefused):
                self.refusals[event.claim_id] = event.refusal
                self._notify_waiters(event.key)
            elif isinstance(event, ClaimWon | KeyChanged):
                self._notify_waiters(event.key)
            elif isinstance(event, AppendOutcome):
                self.append_outcome(event.entry)
            elif isinstance(event, RecordUnreadable):
                log_event("claim_record_ignored", reason=event.reason)

    def _notify_waiters(self, key: ServiceKey) -> None:
        event = self._change_events.pop(key, None)
        if event is not None:
            event.set()
