"""Track and distribute the newest weight version of each trainer."""

import asyncio
from collections.abc import Callable

import msgspec
from aiomisc import Service
from result import Err, Ok

from fulmarpulley_core.ids import ModelName, NodeId, ServiceName, TrainerId, Version
from fulmarpulley_schema.codec import to_builtins
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.peer import MessageKind, VersionNotice
from fulmarpulley_schema.generated.records import RecordKind, VersionRecord

from .background_tasks import BackgroundTasks, notify_all
from .configuration import Configuration
from .locator import Locator, pool_shard_count
from .log_client import LogClient, new_record, read_record
from .observe.events import log_event
from .peers import PeerLinks

VERSIONS_STREAM = "versions"
FORWARD_DEADLINE_S = 1.0
APPEND_RETRY_S = 1.0

TrainerKey = tuple[ServiceName, TrainerId]
Listener = Callable[[VersionNotice], None]


class EmptyReply(msgspec.Struct):
    """Represent a reply without content."""


class Versions(Service):
    """Keep the newest version of each trainer."""

    def __init__(
        self,
        log: LogClient,
        peers: PeerLinks,
        configuration: Configuration,
        locator: Locator,
    ) -> None:
        super().__init__()
        self.log = log
        self.peers = peers
        self.configuration = configuration
        self.locator = locator
        self.newest: dict[TrainerKey, VersionNotice] = {}
        self.listeners: list[Listener] = []
        self.tasks = BackgroundTasks()
        self._pending_appends: dict[TrainerKey, VersionNotice] = {}
        self._wake = asyncio.Event()
        peers.register_handler(MessageKind.VERSION, VersionNotice, self._receive)

    async def start(self) -> None:
        """Start reading versions from the log and appending new ones."""
        self.tasks.supervise(self._tail_log)
        self.tasks.supervise(self._append_loop)

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel the background tasks."""
        await self.tasks.stop()

    async def announce(
        self, document: ServiceDocument, trainer: str, version: int
    ) -> None:
        """Record a new version, send it to the homes and queue it for the log."""
        notice = VersionNotice(
            service=document.name,
            trainer=trainer,
            model=trainer_model(document, trainer),
            version=version,
        )
        if not self.add_if_newer(notice):
            return
        self._pending_appends[_trainer_key(notice)] = notice
        self._wake.set()
        await asyncio.gather(
            *(
                self._forward(node, notice)
                for node in self._homes_to_notify(document, trainer)
            )
        )

    def add_if_newer(self, notice: VersionNotice) -> bool:
        """Record a version and notify listeners; return False if it is not newer."""
        known = self.newest.get(_trainer_key(notice))
        if known is not None and known.version >= notice.version:
            return False
        self.newest[_trainer_key(notice)] = notice
        log_event(
            "version_announced",
            service=notice.service,
            trainer=notice.trainer,
            model=notice.model,
            version=notice.version,
        )
        notify_all(self.listeners, notice)
        return True

    def newest_version(self, service: str, model: str) -> Version:
        """Return the newest version of a model, or 0 if none is known."""
        versions = [
            notice.version
            for notice in self.newest.values()
            if notice.service == service and notice.model == model
        ]
        return Version(max(versions, default=0))

    def notices_for_service(self, service: str) -> list[VersionNotice]:
        """List the newest version of each trainer of a service."""
        return [n for n in self.newest.values() if n.service == service]

    def _homes_to_notify(self, document: ServiceDocument, trainer: str) -> set[NodeId]:
        shards = range(pool_shard_count(document))
        homes = {self.locator.pool_home(document, shard) for shard in shards}
        homes.add(self.locator.step_home(document, trainer))
        own = self.locator.members.node_id
        return {home for home in homes if home is not None and home != own}

    async def _forward(self, node: NodeId, notice: VersionNotice) -> None:
        await self.peers.call(
            node, MessageKind.VERSION, notice, EmptyReply, FORWARD_DEADLINE_S
        )

    async def _receive(self, notice: VersionNotice) -> EmptyReply:
        self.add_if_newer(notice)
        return EmptyReply()

    async def _tail_log(self) -> None:
        async for page in self.log.tail(VERSIONS_STREAM, 1):
            if not isinstance(page, Ok):
                continue
            for item in page.ok_value.records:
                self._apply_record(item.data)

    def _apply_record(self, data: str) -> None:
        record = read_record(data)
        if isinstance(record, Err):
            log_event("version_record_ignored", reason=record.err_value)
            return
        try:
            body = msgspec.convert(record.ok_value.body, VersionRecord)
        except msgspec.ValidationError as error:
            log_event("version_record_ignored", reason=str(error))
            return
        self.add_if_newer(msgspec.convert(to_builtins(body), VersionNotice))

    async def _append_loop(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending_appends:
                key, notice = next(iter(self._pending_appends.items()))
                body = VersionRecord(
                    service=notice.service,
                    trainer=notice.trainer,
                    model=notice.model,
                    version=notice.version,
                )
                record = new_record(RecordKind.VERSION, body)
                result = await self.log.append(VERSIONS_STREAM, record)
                if isinstance(result, Err):
                    await asyncio.sleep(APPEND_RETRY_S)
                elif self._pending_appends.get(key) is notice:
                    del self._pending_appends[key]


def trainer_model(document: ServiceDocument, trainer: str) -> ModelName:
    """Return the model that a trainer updates."""
    for entry in document.trainers:
        if entry.id == trainer and entry.model is not None:
            return ModelName(entry.model)
    return ModelName(document.model)


def _trainer_key(notice: VersionNotice) -> TrainerKey:
    return ServiceName(notice.service), TrainerId(notice.trainer)
