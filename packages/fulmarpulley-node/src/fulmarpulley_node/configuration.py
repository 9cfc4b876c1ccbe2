"""Replicate the service documents from the log and from other nodes."""

import asyncio
from collections.abc import Callable

import msgspec
from aiomisc import Service
from result import Err, Ok

from fulmarpulley_core.configuration import (
    AcceptedDocument,
    ConfigEvent,
    ConfigFold,
    DocumentAccepted,
    EditDecided,
    RecordIgnored,
)
from fulmarpulley_core.edits import EditResult
from fulmarpulley_core.holders import holders
from fulmarpulley_core.ids import NodeId, Offset, RecordId, Revision, ServiceName
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.peer import (
    ConfigPull,
    ConfigPush,
    MessageKind,
    PeerDocument,
)
from fulmarpulley_schema.generated.upstream import LogPage

from .background_tasks import BackgroundTasks, log_failure, notify_all
from .documents import read_document
from .log_client import PAGE_RECORDS, LogClient, read_record
from .members import Members
from .observe.events import log_event
from .observe.metrics import Metrics
from .peers import PeerLinks
from .progress import wait_event

CONFIG_STREAM = "config"
PULL_INTERVAL_S = 0.5
PULL_DEADLINE_S = 2.0


class DocumentInForce(msgspec.Struct, frozen=True):
    """Hold the newest accepted document that this node can read, with its revision."""

    revision: Revision
    document: ServiceDocument


class Configuration(Service):
    """Fold the `config` stream and keep the documents in force on this node."""

    def __init__(
        self, log: LogClient, peers: PeerLinks, members: Members, metrics: Metrics
    ) -> None:
        super().__init__()
        self.log = log
        self.peers = peers
        self.members = members
        self.metrics = metrics
        self.fold = ConfigFold()
        self.in_force: dict[ServiceName, DocumentInForce] = {}
        self.problems: dict[ServiceName, str] = {}
        self.holders: dict[str, ServiceName] = {}
        self.listeners: list[Callable[[ServiceName], None]] = []
        self.caught_up = False
        self.snapshot_read_at = 0.0
        self.changed = asyncio.Event()
        self.tasks = BackgroundTasks()
        peers.register_handler(MessageKind.CONFIG_PULL, ConfigPull, self._serve_pull)

    async def start(self) -> None:
        """Start reading the log and pulling from other nodes."""
        self.tasks.supervise(self._tail_log)
        self.tasks.supervise(self._pull_loop)

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel the background tasks."""
        await self.tasks.stop()

    @property
    def complete(self) -> bool:
        """Tell whether all documents accepted as of one log offset are known."""
        return self.fold.complete and self.caught_up

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force on this node, or None."""
        state = self.in_force.get(ServiceName(service))
        return state.document if state is not None else None

    def problem(self, service: ServiceName) -> str:
        """Describe why the accepted document is not fully in force; empty if it is."""
        read_problem = self.problems.get(service, "")
        state = self.in_force.get(service)
        if read_problem or state is None:
            return read_problem
        held_elsewhere = [
            f"upstream {entry.id} is held by {self.holders[entry.address]}"
            for entry in state.document.upstreams
            if self.holders.get(entry.address, service) != service
        ]
        return "; ".join(held_elsewhere)

    def with_held_upstreams(self, document: ServiceDocument) -> ServiceDocument:
        """Return the document without the upstreams that another service holds."""
        own = [
            entry
            for entry in document.upstreams
            if self.holders.get(entry.address, document.name) == document.name
        ]
        return msgspec.structs.replace(document, upstreams=own)

    def documents(self) -> list[ServiceDocument]:
        """List the documents in force on this node."""
        return [state.document for state in self.in_force.values()]

    async def wait_for_outcome(
        self, record_id: str, timeout_s: float
    ) -> EditResult | None:
        """Wait until an edit is read back from the log; return None on timeout."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        while True:
            result = self.fold.outcome_of(RecordId(record_id))
            remaining_s = deadline - asyncio.get_running_loop().time()
            if result is not None or remaining_s <= 0:
                return result
            await wait_event(self.changed, remaining_s)

    async def _tail_log(self) -> None:
        # A reader that is restarted goes on after the last record that was folded.
        async for page in self.log.tail(CONFIG_STREAM, self.fold.offset + 1):
            if isinstance(page, Ok):
                self._apply_page(page.ok_value)

    def _apply_page(self, page: LogPage) -> None:
        if page.first > self.fold.offset + 1 or self.fold.first is None:
            self.fold.start_at(Offset(page.first))
        for item in page.records:
            try:
                self._apply_record(Offset(item.offset), item.data)
            except Exception as error:
                # One record must not keep the node from reading those after it.
                log_failure(
                    "config_record_failed",
                    self._apply_record,
                    error,
                    offset=item.offset,
                )
        if len(page.records) < PAGE_RECORDS:
            self.caught_up = True
        self._publish_offset()

    def _apply_record(self, offset: Offset, data: str) -> None:
        record = read_record(data)
        if isinstance(record, Err):
            self._handle_events(self.fold.skip(offset, record.err_value))
            return
        if record.ok_value.kind == "snapshot":
            self.snapshot_read_at = asyncio.get_running_loop().time()
        self._handle_events(self.fold.apply(offset, record.ok_value))

    def _publish_offset(self) -> None:
        self.members.set_config_offset(self.fold.offset)
        self.metrics.config_offset.set({}, self.fold.offset)
        self.changed.set()
        self.changed = asyncio.Event()

    def _handle_events(self, events: list[ConfigEvent]) -> None:
        for event in events:
            if isinstance(event, DocumentAccepted):
                self.holders = holders(self._known_documents())
                self._put_in_force(event.accepted)
                notify_all(self.listeners, event.accepted.service)
            elif isinstance(event, EditDecided):
                log_event(
                    "edit_decided",
                    service=event.result.service,
                    record_id=event.result.record_id,
                    outcome=event.result.outcome.value,
                    revision=event.result.revision,
                )
            elif isinstance(event, RecordIgnored):
                log_event(
                    "config_record_ignored", offset=event.offset, reason=event.reason
                )

    def _put_in_force(self, accepted: AcceptedDocument) -> None:
        service = accepted.service
        checked = read_document(service, accepted.document)
        if isinstance(checked, Err):
            problem = "; ".join(f"{f.path}: {f.message}" for f in checked.err_value)
            self.problems[service] = problem
            log_event(
                "document_unreadable",
                service=service,
                revision=accepted.revision,
                reason=problem,
            )
            return
        self.problems.pop(service, None)
        self.in_force[service] = DocumentInForce(accepted.revision, checked.ok_value)
        log_event("document_in_force", service=service, revision=accepted.revision)

    async def _pull_loop(self) -> None:
        while True:
            node = self._select_pull_peer()
            if node is not None:
                await self._pull_once(node)
            await asyncio.sleep(PULL_INTERVAL_S)

    def _select_pull_peer(self) -> NodeId | None:
        membership = self.members.membership
        behind = membership.newest_config_offset > self.fold.known_offset
        if behind and membership.newest_config_member is not None:
            return membership.newest_config_member
        if self.complete:
            return None
        others = self.members.others()
        if not others:
            return None
        round_number = int(asyncio.get_running_loop().time() / PULL_INTERVAL_S)
        return others[round_number % len(others)].node_id

    async def _pull_once(self, node: NodeId) -> None:
        request = ConfigPull(offset=self.fold.known_offset)
        response = await self.peers.call(
            node, MessageKind.CONFIG_PULL, request, ConfigPush, PULL_DEADLINE_S
        )
        if isinstance(response, Err):
            return
        push = response.ok_value
        documents = [_to_accepted_document(item) for item in push.documents]
        useful = push.offset > self.fold.known_offset or not self.complete
        if push.complete and useful:
            self._handle_events(
                self.fold.adopt_peer_state(documents, Offset(push.offset))
            )
            self.caught_up = True
            log_event("config_adopted", peer=node, offset=push.offset)
        else:
            for item in documents:
                self._handle_events(self.fold.add_document(item))
        self._publish_offset()

    async def _serve_pull(self, request: ConfigPull) -> ConfigPush:
        # A peer that adopts a complete state drops every document that is not in
        # the list, so a complete reply must contain all folded documents.
        accepted = self.fold.documents() if self.complete else self._known_documents()
        return ConfigPush(
            offset=self.fold.offset,
            complete=self.complete,
            documents=[_to_peer_document(item) for item in accepted],
        )

    def _known_documents(self) -> list[AcceptedDocument]:
        known = (self.fold.accepted(name) for name in self.fold.services())
        return [item for item in known if item is not None]


def _to_peer_document(item: AcceptedDocument) -> PeerDocument:
    return PeerDocument(
        service=item.service,
        revision=item.revision,
        author=item.author,
        record_id=item.record_id,
        document=item.document,
        since=dict(item.since),
    )


def _to_accepted_document(item: PeerDocument) -> AcceptedDocument:
    return AcceptedDocument(
        service=ServiceName(item.service),
        revision=Revision(item.revision),
        author=item.author,
        document=item.document,
        record_id=RecordId(item.record_id),
        since={key: Revision(value) for key, value in item.since.items()},
    )
