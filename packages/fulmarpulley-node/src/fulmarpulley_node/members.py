"""Run failure detection and gossip, and poll the instance list."""

import asyncio
from collections.abc import Callable

from aiomisc import Service
from result import Ok

from fulmarpulley_core.ids import NodeId, Offset
from fulmarpulley_core.members import Member
from fulmarpulley_core.membership import Membership, Outbound
from fulmarpulley_schema.generated.peer import (
    MemberState,
    MemberUpdate,
    MessageKind,
    Probe,
)
from fulmarpulley_schema.generated.settings import NodeSettings
from fulmarpulley_schema.generated.upstream import (
    Instance,
    InstanceKind,
    InstanceState,
)

from .background_tasks import BackgroundTasks, notify_all
from .observe.events import log_event
from .observe.metrics import Metrics
from .peers import PeerLinks
from .services import instance_list_dialects

LIST_READ_INTERVAL_S = 1.0
MAX_TICK_WAIT_S = 0.2
_PROBE_KINDS = (MessageKind.PROBE, MessageKind.PROBE_ACK, MessageKind.PROBE_REQUEST)


class Members(Service):
    """Maintain the membership view of this node."""

    def __init__(
        self, settings: NodeSettings, peers: PeerLinks, metrics: Metrics, seed: int
    ) -> None:
        super().__init__()
        self.settings = settings
        self.peers = peers
        self.metrics = metrics
        self.node_id = NodeId(settings.node_id)
        self.membership = Membership(
            settings.membership, own_member_update(settings), seed
        )
        dialect = instance_list_dialects.get(settings.instance_list.dialect)
        self.instance_list = dialect(settings.instance_list)
        self.leaving_upstreams: frozenset[str] = frozenset()
        self.instance_list_read = False
        self.listeners: list[Callable[[], None]] = []
        self.tasks = BackgroundTasks()
        self._notified_homes: frozenset[NodeId] = frozenset()
        peers.address_of = self.address_of
        for kind in _PROBE_KINDS:
            peers.register_handler(kind, Probe, _ProbeHandler(self, kind).receive)

    async def start(self) -> None:
        """Start probing other nodes and polling the instance list."""
        self.tasks.supervise(self._tick_loop)
        self.tasks.supervise(self._poll_instance_list)

    async def stop(self, exception: Exception | None = None) -> None:
        """Cancel the background tasks and close the instance list client."""
        await self.tasks.stop()
        await self.instance_list.close()

    def home_candidates(self) -> list[Member]:
        """List the nodes that can be homes, including this one unless it is leaving."""
        return self.membership.available_members()

    def others(self) -> list[Member]:
        """List the other nodes that are not known to be dead."""
        return [
            member
            for member in self.membership.members()
            if member.node_id != self.node_id and member.state is not MemberState.DEAD
        ]

    def is_dead_or_unknown(self, node: NodeId) -> bool:
        """Tell whether a node is dead or unknown."""
        member = self.membership.member(node)
        return member is None or member.state is MemberState.DEAD

    def address_of(self, node: NodeId) -> str | None:
        """Return the peer address of a node, or None if it is unknown."""
        member = self.membership.member(node)
        return member.peer_address if member is not None else None

    def set_config_offset(self, offset: Offset) -> None:
        """Set the `config` stream offset that probe messages carry."""
        self.membership.config_offset = offset

    async def leave(self) -> None:
        """Announce to other nodes that this node is leaving."""
        await self._send(self.membership.leave(self._now()))
        self._notify()

    async def receive(self, kind: MessageKind, message: Probe) -> None:
        """Handle one gossip message."""
        await self._send(self.membership.handle(kind, message, self._now()))
        self._notify()

    async def _tick_loop(self) -> None:
        while True:
            outbound = self.membership.tick(self._now())
            self._notify()
            await self._send(outbound)
            wakeup = self.membership.next_wakeup()
            wait_s = MAX_TICK_WAIT_S if wakeup is None else wakeup - self._now()
            await asyncio.sleep(min(max(wait_s, 0.01), MAX_TICK_WAIT_S))

    async def _poll_instance_list(self) -> None:
        while True:
            result = await self.instance_list.read()
            if isinstance(result, Ok):
                self._apply_instance_list(result.ok_value)
            elif self.instance_list_read:
                log_event("instance_list_failed", reason=result.err_value.value)
            await asyncio.sleep(LIST_READ_INTERVAL_S)

    def _apply_instance_list(self, instances: list[Instance]) -> None:
        self.instance_list_read = True
        nodes = [
            instance_member_update(i) for i in instances if i.kind is InstanceKind.NODE
        ]
        self.membership.apply_instance_list(nodes, self._now())
        leaving = frozenset(
            i.id
            for i in instances
            if i.kind is InstanceKind.UPSTREAM and i.state is InstanceState.LEAVING
        )
        changed, self.leaving_upstreams = leaving != self.leaving_upstreams, leaving
        self._notify(changed)

    async def _send(self, outbound: list[Outbound]) -> None:
        for item in outbound:
            # Sent in tasks so that an unreachable peer does not delay the others.
            self.tasks.spawn(self.peers.send(item.address, item.kind, item.message))

    def _notify(self, force: bool = False) -> None:
        homes = frozenset(member.node_id for member in self.home_candidates())
        if homes == self._notified_homes and not force:
            return
        if homes != self._notified_homes:
            log_event("members_changed", members=",".join(sorted(homes)))
        self._notified_homes = homes
        self.metrics.members.set({}, len(homes))
        notify_all(self.listeners)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class _ProbeHandler:
    """Pass probe messages of one kind to the membership service."""

    def __init__(self, members: Members, kind: MessageKind) -> None:
        self.members = members
        self.kind = kind

    async def receive(self, message: Probe) -> None:
        """Handle one probe message."""
        await self.members.receive(self.kind, message)


def own_member_update(settings: NodeSettings) -> MemberUpdate:
    """Build the member update that describes this node."""
    return MemberUpdate(
        node_id=settings.node_id,
        state=MemberState.ALIVE,
        incarnation=0,
        peer_address=f"{settings.peer.host}:{settings.peer.port}",
        http_address=f"http://{settings.http.host}:{settings.http.port}",
        data_centre=settings.data_centre,
        region=settings.region,
    )


def instance_member_update(instance: Instance) -> MemberUpdate:
    """Convert an entry of the instance list to a member update."""
    leaving = instance.state is InstanceState.LEAVING
    return MemberUpdate(
        node_id=instance.id,
        state=MemberState.LEAVING if leaving else MemberState.ALIVE,
        incarnation=0,
        peer_address=instance.peer_address,
        http_address=instance.address,
        data_centre=instance.data_centre,
        region=instance.region,
    )
