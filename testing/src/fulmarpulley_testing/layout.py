"""Describe the processes of a test cluster and build their settings and documents."""

import msgspec

from fulmarpulley_schema.generated.document import (
    AttachState,
    Retries,
    Scoring,
    ServiceDocument,
    ServiceKind,
    TrainerEntry,
    UpstreamEntry,
    Weights,
)
from fulmarpulley_schema.generated.settings import (
    Listen,
    LogBudget,
    MembershipSettings,
    NodeSettings,
    PlatformService,
)
from fulmarpulley_schema.generated.upstream import (
    Instance,
    InstanceKind,
    InstanceList,
    InstanceState,
)

from .processes import free_ports
from .serving import LOOPBACK

MODEL = "note-drafter"
TRAINING = "note-drafters"
DESK = "ticket-desk"
ENGINE_DESK = "intake-desk"
TRAINER = "notes"
# Two data centres in one region and one in another, as at the Zlatna Broenitsa.
LOCATIONS = (
    ("sofia-lozenets", "sofia"),
    ("sofia-mladost", "sofia"),
    ("plovdiv-kapana", "plovdiv"),
)


class ClusterSettings(msgspec.Struct, kw_only=True):
    """Configure a cluster; the default rates and times keep tests within seconds."""

    nodes: int = 3
    engines: int = 3
    plains: int = 2
    desk_engines: int = 0
    seed: int = 1
    tokens_per_s: float = 200.0
    swap_s: float = 0.3
    plain_delay_s: float = 0.02
    log_proxy: bool = False
    retention_s: float = 3600.0
    checks_fencing: bool = True
    stall_s: float = 2.0
    deadline_s: float = 30.0


class Member(msgspec.Struct, kw_only=True):
    """Describe one node or upstream and its ports."""

    name: str
    port: int
    data_centre: str
    region: str
    peer_port: int = 0
    proxy_port: int = 0
    proxy_control_port: int = 0

    def address(self) -> str:
        """Return the HTTP address."""
        return address_of(self.port)


class Layout:
    """Hold the members of a cluster and the ports of its platform services."""

    def __init__(self, settings: ClusterSettings) -> None:
        self.settings = settings
        count = 4 * settings.nodes + settings.engines + settings.plains + 4
        count += settings.desk_engines
        ports = free_ports(count)
        self.log, self.store, self.instances, self.scorer = (
            ports.pop() for _ in range(4)
        )
        self.nodes = [self._member("n", i, ports) for i in range(settings.nodes)]
        self.engines = [self._member("e", i, ports) for i in range(settings.engines)]
        self.plains = [self._member("p", i, ports) for i in range(settings.plains)]
        desk_engines = range(settings.desk_engines)
        self.desk_engines = [self._member("d", i, ports) for i in desk_engines]
        for node in self.nodes:
            node.peer_port = ports.pop()
            node.proxy_port = ports.pop()
            node.proxy_control_port = ports.pop()

    def _member(self, kind: str, number: int, ports: list[int]) -> Member:
        data_centre, region = LOCATIONS[number % len(LOCATIONS)]
        return Member(
            name=f"{kind}{number + 1}",
            port=ports.pop(),
            data_centre=data_centre,
            region=region,
        )

    def instance_list(self, leaving: set[str]) -> InstanceList:
        """Return the list of all members; those named in leaving have that state."""
        upstreams = [*self.engines, *self.plains, *self.desk_engines]
        kinds = [(member, InstanceKind.NODE) for member in self.nodes]
        kinds += [(member, InstanceKind.UPSTREAM) for member in upstreams]
        return InstanceList(
            instances=[_instance(member, kind, leaving) for member, kind in kinds]
        )

    def node_settings(self, node: Member) -> NodeSettings:
        """Return the settings of one node."""
        log = node.proxy_port if self.settings.log_proxy else self.log
        return NodeSettings(
            node_id=node.name,
            data_centre=node.data_centre,
            region=node.region,
            http=Listen(host=LOOPBACK, port=node.port),
            peer=Listen(host=LOOPBACK, port=node.peer_port),
            log=PlatformService(address=address_of(log), timeout_s=2.0),
            instance_list=PlatformService(address=address_of(self.instances)),
            weight_store=PlatformService(address=address_of(self.store)),
            log_budget=LogBudget(
                appends_per_s=100.0, retention_s=self.settings.retention_s
            ),
            membership=MembershipSettings(period_s=0.3, probe_timeout_s=0.2),
            balancer_lag_s=0.5,
            shutdown_s=20.0,
            partitions=4,
            seed=self.settings.seed,
        )

    def training_document(self) -> ServiceDocument:
        """Return the document of the training service."""
        return ServiceDocument(
            name=TRAINING,
            kind=ServiceKind.TRAINING,
            model=MODEL,
            upstreams=[self._upstream(one, "engine") for one in self.engines],
            trainers=[TrainerEntry(id=TRAINER)],
            staleness_bound=2,
            deadline_s=self.settings.deadline_s,
            stall_s=self.settings.stall_s,
            retries=Retries(budget_ratio=0.5),
            weights=Weights(swaps_at_once=1, swap_s=self.settings.swap_s, bytes=1024),
            scoring=Scoring(address=address_of(self.scorer)),
        )

    def desk_document(self) -> ServiceDocument:
        """Return the document of the desk that plain services answer."""
        return ServiceDocument(
            name=DESK,
            kind=ServiceKind.DESK,
            model="tickets",
            upstreams=[self._upstream(one, "plain") for one in self.plains],
            deadline_s=self.settings.deadline_s,
            stall_s=self.settings.stall_s,
            retries=Retries(budget_ratio=0.5),
        )

    def engine_desk_document(self) -> ServiceDocument:
        """Return the document of the desk that engines answer."""
        return ServiceDocument(
            name=ENGINE_DESK,
            kind=ServiceKind.DESK,
            model=MODEL,
            upstreams=[self._upstream(one, "engine") for one in self.desk_engines],
            deadline_s=self.settings.deadline_s,
            stall_s=self.settings.stall_s,
            retries=Retries(budget_ratio=0.5),
        )

    def _upstream(self, member: Member, dialect: str) -> UpstreamEntry:
        return UpstreamEntry(
            id=member.name,
            address=member.address(),
            data_centre=member.data_centre,
            region=member.region,
            dialect=dialect,
            checks_fencing=dialect == "engine" and self.settings.checks_fencing,
        )


def address_of(port: int) -> str:
    """Return the HTTP address of a loopback port."""
    return f"http://{LOOPBACK}:{port}"


def drain(document: ServiceDocument, upstream: str) -> ServiceDocument:
    """Return a copy of a document in which one upstream is draining."""
    changed = [
        msgspec.structs.replace(one, state=AttachState.DRAINING)
        if one.id == upstream
        else one
        for one in document.upstreams
    ]
    return msgspec.structs.replace(document, upstreams=changed)


def _instance(member: Member, kind: InstanceKind, leaving: set[str]) -> Instance:
    state = InstanceState.LEAVING if member.name in leaving else InstanceState.LIVE
    peer = f"{LOOPBACK}:{member.peer_port}" if member.peer_port else ""
    return Instance(
        id=member.name,
        kind=kind,
        state=state,
        address=member.address(),
        peer_address=peer,
        data_centre=member.data_centre,
        region=member.region,
    )
