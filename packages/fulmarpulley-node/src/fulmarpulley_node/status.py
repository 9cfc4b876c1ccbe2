"""Report the state of this node."""

from fulmarpulley_core.ids import NodeId, ServiceName
from fulmarpulley_core.pool.messages import PoolView
from fulmarpulley_schema.generated.http import (
    NodeStatus,
    PoolStatus,
    ServiceRevision,
    UpstreamStatus,
)
from fulmarpulley_schema.generated.settings import NodeSettings

from .configuration import Configuration
from .gate import Gate
from .homes.pools import PoolHomeManager
from .log_client import LogClient
from .members import Members


class StatusReport:
    """Collect the state of the services of this node."""

    def __init__(
        self,
        settings: NodeSettings,
        gate: Gate,
        configuration: Configuration,
        members: Members,
        pools: PoolHomeManager,
        log: LogClient,
    ) -> None:
        self.settings = settings
        self.gate = gate
        self.configuration = configuration
        self.members = members
        self.pools = pools
        self.log = log

    def read(self) -> NodeStatus:
        """Return the state of this node."""
        return NodeStatus(
            node_id=self.settings.node_id,
            data_centre=self.settings.data_centre,
            region=self.settings.region,
            state=self.members.membership.own_member.state.value,
            ready=self.gate.ready,
            config_offset=self.configuration.fold.offset,
            log_ok=self.log.healthy,
            revisions=[self._revision(s) for s in self.configuration.fold.services()],
            pools=[
                self._pool(service, shard, home.view())
                for (service, shard), home in sorted(self.pools.homes.items())
            ],
        )

    def unreachable(self, node: NodeId, problem: str) -> NodeStatus:
        """Return what is known of a node that did not reply."""
        member = self.members.membership.member(node)
        return NodeStatus(
            node_id=node,
            data_centre=member.data_centre if member else "",
            region=member.region if member else "",
            state=member.state.value if member else "unknown",
            ready=False,
            config_offset=0,
            log_ok=False,
            revisions=[],
            pools=[],
            problem=f"no answer to a status call: {problem}",
        )

    def _revision(self, service: ServiceName) -> ServiceRevision:
        accepted = self.configuration.fold.accepted(service)
        in_force = self.configuration.in_force.get(service)
        return ServiceRevision(
            service=service,
            accepted=accepted.revision if accepted else 0,
            in_force=in_force.revision if in_force else 0,
            problem=self.configuration.problem(service),
        )

    def _pool(self, service: str, shard: int, view: PoolView) -> PoolStatus:
        return PoolStatus(
            service=service,
            shard=shard,
            home=self.settings.node_id,
            queued=view.queued,
            in_flight=view.in_flight,
            upstreams=[
                UpstreamStatus(
                    id=item.upstream,
                    state=item.availability.value,
                    in_flight=item.in_flight,
                    tokens_in_flight=item.tokens_in_flight,
                    versions={str(k): int(v) for k, v in item.versions.items()},
                )
                for item in view.upstreams
            ],
        )
