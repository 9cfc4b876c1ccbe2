"""Publish document edits and periodic snapshots to the `config` stream."""

import asyncio

from aiomisc import Service
from result import Err, Ok, Result

from fulmarpulley_core.edits import EditResult
from fulmarpulley_core.ids import RecordId, ServiceName
from fulmarpulley_schema.generated.http import (
    DocumentEdit,
    DocumentState,
    EditOutcome,
    Ran,
)
from fulmarpulley_schema.generated.peer import Refusal
from fulmarpulley_schema.generated.records import Change, RecordKind
from fulmarpulley_schema.generated.settings import NodeSettings

from .background_tasks import BackgroundTasks
from .configuration import CONFIG_STREAM, Configuration
from .errors import ErrorCode, build_refusal
from .locator import Locator
from .log_client import LogClient, new_record
from .observe.events import log_event
from .services.dialects import PlatformFailure

# Limit for reading back an edit whose append the log has confirmed.
READ_BACK_TIMEOUT_S = 10.0
# Limit for finding an edit in the log whose append got no response.
UNCONFIRMED_TIMEOUT_S = 3.0
SNAPSHOT_CHECK_INTERVAL_S = 1.0
_NOT_APPENDED = (PlatformFailure.RATE_LIMITED, PlatformFailure.UNAVAILABLE)


class EditPublisher(Service):
    """Append edits and snapshots to the `config` stream."""

    def __init__(
        self,
        settings: NodeSettings,
        log: LogClient,
        configuration: Configuration,
        locator: Locator,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.configuration = configuration
        self.locator = locator
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        """Start the periodic snapshots."""
        self.tasks.supervise(self._snapshot_loop)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the periodic snapshots."""
        await self.tasks.stop()

    async def publish(
        self, service: str, edit: DocumentEdit
    ) -> Result[DocumentState, Refusal]:
        """Append an edit and return its outcome once it is read back.

        An edit whose record_id already has an outcome is not appended again.
        """
        known_result = self.configuration.fold.outcome_of(RecordId(edit.record_id))
        if known_result is not None and known_result.service != service:
            message = (
                f"record_id was used for service {known_result.service!r}; use another"
            )
            return Err(build_refusal(ErrorCode.BAD_REQUEST, message))
        if known_result is not None:
            return self._outcome_result(service, edit, known_result)
        body = Change(
            service=service,
            base_revision=edit.base_revision,
            author=edit.author,
            document=edit.document,
        )
        record = new_record(RecordKind.CHANGE, body, edit.record_id)
        appended = await self.log.append(CONFIG_STREAM, record)
        if isinstance(appended, Err) and appended.err_value in _NOT_APPENDED:
            return Err(_unavailable(appended.err_value, Ran.NOT_RUN))
        timeout_s = (
            READ_BACK_TIMEOUT_S if isinstance(appended, Ok) else UNCONFIRMED_TIMEOUT_S
        )
        result = await self.configuration.wait_for_outcome(edit.record_id, timeout_s)
        if result is not None:
            return self._outcome_result(service, edit, result)
        reason = (
            appended.err_value
            if isinstance(appended, Err)
            else PlatformFailure.TIMED_OUT
        )
        return Err(_unavailable(reason, Ran.MAY_HAVE_RUN))

    def accepted_state(self, service: str) -> DocumentState | None:
        """Return the accepted document of a service, or None."""
        accepted = self.configuration.fold.accepted(ServiceName(service))
        if accepted is None:
            return None
        return DocumentState(
            service=service,
            revision=accepted.revision,
            author=accepted.author,
            document=accepted.document,
        )

    def _outcome_result(
        self, service: str, edit: DocumentEdit, result: EditResult
    ) -> Result[DocumentState, Refusal]:
        if result.outcome is EditOutcome.ACCEPTED:
            state = DocumentState(
                service=service,
                revision=result.revision,
                author=edit.author,
                document=edit.document,
                outcome=EditOutcome.ACCEPTED,
            )
            return Ok(state)
        message = (
            f"revision {result.revision} by {result.author!r} is current,"
            f" not base revision {edit.base_revision}"
        )
        return Err(build_refusal(ErrorCode.CONFLICT, message))

    async def _snapshot_loop(self) -> None:
        interval = self.settings.log_budget.retention_s / 2
        while True:
            await asyncio.sleep(min(SNAPSHOT_CHECK_INTERVAL_S, interval / 2))
            configuration = self.configuration
            is_home = self.locator.config_home() == self.settings.node_id
            age = asyncio.get_running_loop().time() - configuration.snapshot_read_at
            # snapshot_read_at is 0 after a start: the age of the snapshots in the log
            # is unknown, so new ones are due immediately.
            due = not configuration.snapshot_read_at or age >= interval
            if is_home and due and configuration.complete and self.log.healthy:
                await self._append_snapshots()

    async def _append_snapshots(self) -> None:
        snapshots = self.configuration.fold.snapshots()
        for snapshot in snapshots:
            record = new_record(RecordKind.SNAPSHOT, snapshot)
            appended = await self.log.append(CONFIG_STREAM, record)
            if isinstance(appended, Err):
                return
        if snapshots:
            self.configuration.snapshot_read_at = asyncio.get_running_loop().time()
            log_event("snapshots_appended", services=len(snapshots))


def _unavailable(reason: PlatformFailure, ran: Ran) -> Refusal:
    message = f"the log did not confirm the edit ({reason}); send it again"
    return build_refusal(ErrorCode.LOG_UNAVAILABLE, message, ran)
