"""Learn and spread the newest weight versions of the trainers."""

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

from .configuration import Configuration
from .locate import Locator, pool_shard_count
from .log_client import LogClient, new_record, read_record
from .observe.events import log_event
from .peers import PeerLinks
from .tasks import TaskGroup

VERSIONS_STREAM = "versions"
FORWARD_DEADLINE_S = 1.0
APPEND_RETRY_S = 1.0

Key = tuple[ServiceName, TrainerId]
Listener = Callable[[VersionNotice], None]


class NoReply(msgspec.Struct):
    """Stand for a reply without content."""


class Versions(Service):
    """Own the newest version of each trainer."""

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
        self.newest: dict[Key, VersionNotice] = {}
        self.listeners: list[Listener] = []
        self.tasks = TaskGroup()
        self._to_append: dict[Key, VersionNotice] = {}
        self._wake = asyncio.Event()
        peers.handle(MessageKind.VERSION, VersionNotice, self._receive)

    async def start(self) -> None:
        """Start reading and appending versions."""
        self.tasks.spawn(self._tail())
        self.tasks.spawn(self._append())

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all tasks."""
        await self.tasks.stop()

    async def announce(
        self, document: ServiceDocument, trainer: str, version: int
    ) -> None:
        """Take the announcement of a trainer and pass it to the homes and the log."""
        notice = VersionNotice(
            service=document.name,
            trainer=trainer,
            model=trainer_model(document, trainer),
            version=version,
        )
        if not self.note(notice):
            return
        self._to_append[_key(notice)] = notice
        self._wake.set()
        await asyncio.gather(
            *(self._forward(node, notice) for node in self._homes(document, trainer))
        )

    def note(self, notice: VersionNotice) -> bool:
        """Take a version; return False for one that is not newer."""
        known = self.newest.get(_key(notice))
        if known is not None and known.version >= notice.version:
            return False
        self.newest[_key(notice)] = notice
        log_event(
            "version_announced",
            service=notice.service,
            trainer=notice.trainer,
            model=notice.model,
            version=notice.version,
        )
        for listener in self.listeners:
            listener(notice)
        return True

    def of_model(self, service: str, model: str) -> Version:
        """Return the newest version of a model, 0 when none is known."""
        found = [
            notice.version
            for notice in self.newest.values()
            if notice.service == service and notice.model == model
        ]
        return Version(max(found, default=0))

    def of_service(self, service: str) -> list[VersionNotice]:
        """List the newest versions of the trainers of a service."""
        return [n for n in self.newest.values() if n.service == service]

    def _homes(self, document: ServiceDocument, trainer: str) -> set[NodeId]:
        shards = range(pool_shard_count(document))
        homes = {self.locator.pool_home(document, shard) for shard in shards}
        homes.add(self.locator.step_home(document, trainer))
        own = self.locator.members.node_id
        return {home for home in homes if home is not None and home != own}

    async def _forward(self, node: NodeId, notice: VersionNotice) -> None:
        await self.peers.call(
            node, MessageKind.VERSION, notice, NoReply, FORWARD_DEADLINE_S
        )

    async def _receive(self, notice: VersionNotice) -> NoReply:
        self.note(notice)
        return NoReply()

    async def _tail(self) -> None:
        async for page in self.log.tail(VERSIONS_STREAM, 1):
            if not isinstance(page, Ok):
                continue
            for item in page.ok_value.records:
                self._take_record(item.data)

    def _take_record(self, data: str) -> None:
        record = read_record(data)
        if isinstance(record, Err):
            log_event("version_record_ignored", reason=record.err_value)
            return
        try:
            body = msgspec.convert(record.ok_value.body, VersionRecord)
        except msgspec.ValidationError as error:
            log_event("version_record_ignored", reason=str(error))
            return
        self.note(msgspec.convert(to_builtins(body), VersionNotice))

    async def _append(self) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._to_append:
                key, notice = next(iter(self._to_append.items()))
                body = VersionRecord(
                    service=notice.service,
                    trainer=notice.trainer,
                    model=notice.model,
                    version=notice.version,
                )
                record = new_record(RecordKind.VERSION, body)
                done = await self.log.append(VERSIONS_STREAM, record)
                if isinstance(done, Err):
                    await asyncio.sleep(APPEND_RETRY_S)
                elif self._to_append.get(key) is notice:
                    del self._to_append[key]


def trainer_model(document: ServiceDocument, trainer: str) -> ModelName:
    """Return the model that a trainer updates."""
    for entry in document.trainers:
        if entry.id == trainer and entry.model is not None:
            return ModelName(entry.model)
    return ModelName(document.model)


def _key(notice: VersionNotice) -> Key:
    return ServiceName(notice.service), TrainerId(notice.trainer)
