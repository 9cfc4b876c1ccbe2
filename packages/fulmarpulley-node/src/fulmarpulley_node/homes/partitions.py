"""Manage the partition homes of this node and serve their peer messages."""

import asyncio
import uuid

from aiomisc import Service

from fulmarpulley_core.ids import NodeId, Partition
from fulmarpulley_core.placement import partition_of
from fulmarpulley_core.request_keys import parse_key
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.peer import (
    KeyedPoll,
    KeyedSubmit,
    KeysIssue,
    KeysIssued,
    MessageKind,
    WorkState,
)
from fulmarpulley_schema.generated.settings import NodeSettings

from ..background_tasks import BackgroundTasks
from ..configuration import Configuration
from ..errors import ErrorCode, build_refusal
from ..locator import Locator
from ..log_client import LogClient
from ..members import Members
from ..peers import PeerLinks
from ..progress import wait_event
from ..work_client import WorkClient
from .claim_stream import ClaimStream
from .partition_home import PartitionHome

FIRST_READ_TIMEOUT_S = 1.5
RECONCILE_PERIOD_S = 1.0


class PartitionHomeManager(Service):
    """Open and close partition homes and dispatch peer messages to them."""

    def __init__(
        self,
        settings: NodeSettings,
        log: LogClient,
        peers: PeerLinks,
        members: Members,
        configuration: Configuration,
        work_client: WorkClient,
        locator: Locator,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.peers = peers
        self.members = members
        self.configuration = configuration
        self.work_client = work_client
        self.locator = locator
        self.start_id = uuid.uuid4().hex[:12]
        self.homes: dict[Partition, PartitionHome] = {}
        self.leaving = False
        self.tasks = BackgroundTasks()
        members.listeners.append(self._members_changed)
        peers.register_handler(MessageKind.CLAIM, KeyedSubmit, self._claim)
        peers.register_handler(MessageKind.FETCH, KeyedPoll, self._fetch)
        peers.register_handler(MessageKind.KEYS, KeysIssue, self._issue)

    async def start(self) -> None:
        """Start opening and closing partition homes."""
        self.tasks.supervise(self._reconcile)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all partition homes."""
        await self.tasks.stop()
        for home in self.homes.values():
            await home.stream.stop()

    @property
    def idle(self) -> bool:
        """Tell whether no request is in progress and no outcome append is pending."""
        return all(
            home.idle and not home.stream.has_pending_tasks()
            for home in self.homes.values()
        )

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force."""
        return self.configuration.document(service)

    def partition(self, service: str, key: str) -> Partition | None:
        """Return the partition of a key, or None if the key names an invalid one."""
        issued = parse_key(key)
        if issued is None:
            return partition_of(service, key, self.settings.partitions)
        known = issued.partition < self.settings.partitions
        return issued.partition if known else None

    async def _claim(self, message: KeyedSubmit) -> WorkState:
        partition = self.partition(message.service, message.key)
        if partition is None:
            text = "the key names a partition that does not exist"
            return WorkState(
                done=True, refusal=build_refusal(ErrorCode.BAD_REQUEST, text)
            )
        if self.leaving and not self._has_request(partition, message):
            text = "the partition home is shutting down; submit to its successor"
            refused = build_refusal(ErrorCode.SHUTTING_DOWN, text)
            return WorkState(done=True, refusal=refused)
        return self._get_or_open_home(partition).submit(message)

    async def _fetch(self, message: KeyedPoll) -> WorkState:
        partition = self.partition(message.service, message.key)
        if partition is None:
            text = "the key names a partition that does not exist"
            return WorkState(
                done=True, refusal=build_refusal(ErrorCode.UNKNOWN_KEY, text)
            )
        if message.claim_id:
            home = self.homes.get(partition)
            if home is None:
                return WorkState(known=False)
            return await home.poll_as_holder(message)
        return await self._get_or_open_home(partition).poll(message)

    async def _issue(self, message: KeysIssue) -> KeysIssued:
        home = self._get_or_open_home(Partition(message.partition))
        await wait_event(home.stream.caught_up, FIRST_READ_TIMEOUT_S)
        keys = []
        for _ in range(message.count):
            key = home.table.issue_key(uuid.uuid4().hex)
            if key is not None:
                keys.append(str(key))
        return KeysIssued(keys=keys)

    def _has_request(self, partition: Partition, message: KeyedSubmit) -> bool:
        home = self.homes.get(partition)
        return home is not None and home.has_request(message.service, message.key)

    def _get_or_open_home(self, partition: Partition) -> PartitionHome:
        home = self.homes.get(partition)
        if home is None:
            stream = ClaimStream(
                self.log, partition, NodeId(self.settings.node_id), self.start_id
            )
            home = self.homes[partition] = PartitionHome(stream, self)
            # Without the instance list, all other claim holders would count as dead,
            # and the claim table never reverts that.
            if self.members.instance_list_read:
                stream.members_changed(self._live_nodes())
            stream.start()
        return home

    def _live_nodes(self) -> list[NodeId]:
        others = [member.node_id for member in self.members.others()]
        return [self.members.node_id, *others]

    def _members_changed(self) -> None:
        if not self.members.instance_list_read:
            return
        live_nodes = self._live_nodes()
        for home in self.homes.values():
            home.stream.members_changed(live_nodes)

    async def _reconcile(self) -> None:
        # Homes are opened before any request arrives, so that their streams are
        # already read by then.
        while True:
            if self.members.instance_list_read:
                for number in range(self.settings.partitions):
                    await self._reconcile_one(Partition(number))
                self._members_changed()
            await asyncio.sleep(RECONCILE_PERIOD_S)

    async def _reconcile_one(self, partition: Partition) -> None:
        own = self.locator.partition_home(partition) == self.members.node_id
        if own:
            self._get_or_open_home(partition)
            return
        home = self.homes.get(partition)
        if home is not None and home.can_close():
            del self.homes[partition]
            await home.stream.stop()
