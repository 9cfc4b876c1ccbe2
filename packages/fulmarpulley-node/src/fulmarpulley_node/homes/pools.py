"""Manage the pool homes of this node and serve their peer messages."""

import asyncio
from collections.abc import Callable

from aiomisc import Service

from fulmarpulley_core.pool.messages import PoolSettings
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.peer import (
    MessageKind,
    VersionNotice,
    WorkPoll,
    WorkState,
    WorkSubmit,
    WorkWithdraw,
)
from fulmarpulley_schema.generated.records import PoolEpoch, RecordKind
from fulmarpulley_schema.generated.settings import NodeSettings

from ..background_tasks import BackgroundTasks
from ..configuration import Configuration
from ..errors import ErrorCode, build_refusal
from ..locator import Locator, pool_shard_count
from ..log_client import LogClient, new_record
from ..members import Members
from ..observe.events import log_event
from ..observe.metrics import Metrics
from ..peers import PeerLinks
from ..versions import EmptyReply, Versions
from .pool_home import PoolHome

EPOCH_STREAM = "pool-epochs"
RECONCILE_PERIOD_S = 1.0
# A pool whose home has moved refuses its waiting work only after this time, in which
# the membership views of the nodes converge.
MOVE_GRACE_S = 2.0
# A pool home that has moved is kept this long for late polls, then closed if idle.
MOVED_HOME_RETENTION_S = 30.0
PoolKey = tuple[str, int]


class PoolHomeManager(Service):
    """Open and close pool homes and dispatch peer messages to them."""

    def __init__(
        self,
        settings: NodeSettings,
        log: LogClient,
        peers: PeerLinks,
        members: Members,
        configuration: Configuration,
        versions: Versions,
        locator: Locator,
        metrics: Metrics,
        new_seed: Callable[[], int],
    ) -> None:
        super().__init__()
        self.settings = PoolSettings(routing=settings.routing)
        self.log = log
        self.members = members
        self.configuration = configuration
        self.versions = versions
        self.locator = locator
        self.metrics = metrics
        self.new_seed = new_seed
        self.homes: dict[PoolKey, PoolHome] = {}
        self.fences: dict[PoolKey, int] = {}
        self.fence_lock = asyncio.Lock()
        self.moved_since: dict[PoolKey, float] = {}
        self.leaving = False
        self.tasks = BackgroundTasks()
        configuration.listeners.append(self._document_changed)
        members.listeners.append(self._members_changed)
        versions.listeners.append(self._version_announced)
        peers.register_handler(MessageKind.SUBMIT, WorkSubmit, self._submit)
        peers.register_handler(MessageKind.PROGRESS, WorkPoll, self._poll)
        peers.register_handler(MessageKind.WITHDRAW, WorkWithdraw, self._withdraw)

    async def start(self) -> None:
        """Start opening and closing pool homes."""
        self.tasks.supervise(self._reconcile_periodically)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all pool homes."""
        await self.tasks.stop()
        for home in self.homes.values():
            await home.stop()

    def leave(self) -> None:
        """Refuse new and unstarted work; running attempts continue."""
        self.leaving = True
        for home in self.homes.values():
            home.leave()

    @property
    def idle(self) -> bool:
        """Tell whether no work is in progress."""
        return all(home.idle for home in self.homes.values())

    def with_held_upstreams(self, document: ServiceDocument) -> ServiceDocument:
        """Return the document without the upstreams that another service holds."""
        return self.configuration.with_held_upstreams(document)

    def is_upstream_leaving(self, upstream: str) -> bool:
        """Tell whether the instance list marks an upstream as leaving."""
        return upstream in self.members.leaving_upstreams

    async def fence(self, service: str, shard: int, at_least: int) -> int | None:
        """Return the fencing number of a pool, renewed if below `at_least`.

        While the log is unavailable, return the last number, or None without one.
        """
        # The lock lets concurrent orders share one fencing number.
        async with self.fence_lock:
            return await self._fence((service, shard), at_least)

    async def _fence(self, key: PoolKey, at_least: int) -> int | None:
        service, shard = key
        known = self.fences.get(key)
        if known is not None and known >= at_least:
            return known
        body = PoolEpoch(service=service, shard=shard, node=self.members.node_id)
        record = new_record(RecordKind.POOL_EPOCH, body)
        result = await self.log.append(EPOCH_STREAM, record)
        if result.is_err():
            return known
        self.fences[key] = result.unwrap()
        log_event("pool_epoch", service=service, shard=shard, fence=result.unwrap())
        return self.fences[key]

    async def _submit(self, message: WorkSubmit) -> WorkState:
        document = self.configuration.document(message.service)
        if document is None:
            text = "the node has not received the document of the service yet"
            refused = build_refusal(ErrorCode.NOT_READY, text)
            return WorkState(done=True, refusal=refused)
        return self._get_or_open_home(document, message.shard).submit(message)

    async def _poll(self, message: WorkPoll) -> WorkState:
        home = self.homes.get((message.service, message.shard))
        if home is None:
            return WorkState(known=False)
        return await home.poll(message)

    async def _withdraw(self, message: WorkWithdraw) -> EmptyReply:
        home = self.homes.get((message.service, message.shard))
        if home is not None:
            home.withdraw(message.work_id)
        return EmptyReply()

    def _get_or_open_home(self, document: ServiceDocument, shard: int) -> PoolHome:
        key = (document.name, shard)
        home = self.homes.get(key)
        if home is None:
            home = self.homes[key] = PoolHome(document, shard, self, self.new_seed())
            home.leaving = self.leaving
            home.start()
            for notice in self.versions.notices_for_service(document.name):
                home.announce(notice.model, notice.version)
            self.instance_list_changed()
            log_event("pool_home_started", service=document.name, shard=shard)
        return home

    def _document_changed(self, service: str) -> None:
        # An edit of one service can change which service holds an upstream.
        for (name, _shard), home in self.homes.items():
            document = self.configuration.document(name)
            if document is not None:
                home.change_document(document)
        self._reconcile()

    def _members_changed(self) -> None:
        self.instance_list_changed()
        self._reconcile()

    def instance_list_changed(self) -> None:
        """Notify all pool homes of a change of the instance list."""
        for home in self.homes.values():
            home.instance_list_changed()

    def _version_announced(self, notice: VersionNotice) -> None:
        for (service, _shard), home in self.homes.items():
            if service == notice.service:
                home.announce(notice.model, notice.version)

    async def _reconcile_periodically(self) -> None:
        while True:
            self._reconcile()
            await self._close_moved_homes()
            await asyncio.sleep(RECONCILE_PERIOD_S)

    def _reconcile(self) -> None:
        if not self.members.instance_list_read:
            # Before the instance list is read, this node would own every pool.
            return
        now = asyncio.get_running_loop().time()
        own = self._own_pools()
        for key, document in own.items():
            self._get_or_open_home(document, key[1])
        for key, home in self.homes.items():
            if key in own:
                self.moved_since.pop(key, None)
                home.leaving = self.leaving
            elif now - self.moved_since.setdefault(key, now) >= MOVE_GRACE_S:
                self._drain_moved(key, home)

    def _drain_moved(self, key: PoolKey, home: PoolHome) -> None:
        # Otherwise both homes would fill the same upstreams until one runs out of work.
        if not home.leaving:
            log_event("pool_home_moved", service=key[0], shard=key[1])
            home.leave()

    def _own_pools(self) -> dict[PoolKey, ServiceDocument]:
        own: dict[PoolKey, ServiceDocument] = {}
        for document in self.configuration.documents():
            for shard in range(pool_shard_count(document)):
                home = self.locator.pool_home(document, shard)
                if home == self.members.node_id:
                    own[document.name, shard] = document
        return own

    async def _close_moved_homes(self) -> None:
        now = asyncio.get_running_loop().time()
        for key, since in list(self.moved_since.items()):
            if now - since > MOVED_HOME_RETENTION_S and self.homes[key].idle:
                del self.moved_since[key]
                self.fences.pop(key, None)
                await self.homes.pop(key).stop()
                log_event("pool_home_closed", service=key[0], shard=key[1])
