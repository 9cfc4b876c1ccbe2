"""Simulate members that exchange messages with latency, loss, crashes and cuts."""

import heapq
from collections.abc import Callable

import msgspec

from fulmarpulley_core.ids import NodeId
from fulmarpulley_core.membership import Membership, Outbound
from fulmarpulley_core.seeded_random import SeededRandom
from fulmarpulley_schema.codec import to_msgpack
from fulmarpulley_schema.generated.peer import MemberState, MemberUpdate
from fulmarpulley_schema.generated.settings import MembershipSettings

LATENCY_S = 0.008
STEP_S = 0.05


class MemberSimulation(msgspec.Struct):
    """Hold the running nodes, the messages in flight and the traffic counters."""

    nodes: dict[NodeId, Membership]
    loss: float = 0.0
    now: float = 0.0
    messages: int = 0
    bytes: int = 0
    queue: list[tuple[float, int, NodeId, Outbound]] = []
    paused: set[NodeId] = set()
    cut: Callable[[NodeId, NodeId], bool] = lambda sender, target: False
    random: SeededRandom = msgspec.field(default_factory=lambda: SeededRandom(7))
    count: int = 0

    def run(self, seconds: float) -> None:
        """Advance the time in steps; each node ticks when its wake-up is due."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.deliver()
            for node in self.running():
                if (node.next_wakeup() or 0.0) <= self.now:
                    self.send(node, node.tick(self.now))

    def running(self) -> list[Membership]:
        """List the nodes that are not paused."""
        return [n for node_id, n in self.nodes.items() if node_id not in self.paused]

    def deliver(self) -> None:
        """Deliver due messages; those to paused nodes are postponed."""
        while self.queue and self.queue[0][0] <= self.now:
            _, _, target, outbound = heapq.heappop(self.queue)
            node = self.nodes.get(target)
            if target in self.paused:
                self.push(self.now + 0.5, target, outbound)
            elif node is not None:
                answer = node.handle(outbound.kind, outbound.message, self.now)
                self.send(node, answer)

    def send(self, node: Membership, outbound: list[Outbound]) -> None:
        """Send messages, some of which are lost."""
        for item in outbound:
            self.messages += 1
            self.bytes += len(to_msgpack(item.message))
            lost = self.random.randrange(1000) < self.loss * 1000
            if not lost and not self.cut(node.own_member.node_id, item.target):
                self.push(self.now + LATENCY_S, item.target, item)

    def push(self, when: float, target: NodeId, outbound: Outbound) -> None:
        """Schedule a delivery."""
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, target, outbound))

    def states(self, about: NodeId) -> set[MemberState | None]:
        """Return the states that the other nodes have for a node."""
        others = [node for name, node in self.nodes.items() if name != about]
        known = [node.member(about) for node in others]
        return {member.state if member else None for member in known}

    def false_deaths(self) -> list[tuple[NodeId, NodeId]]:
        """List pairs of a node and a running node that it considers dead."""
        return [
            (name, member.node_id)
            for name, node in self.nodes.items()
            for member in node.members()
            if member.state is MemberState.DEAD and member.node_id in self.nodes
        ]


def update(index: int, state: MemberState = MemberState.ALIVE) -> MemberUpdate:
    """Return an entry of the instance list."""
    return MemberUpdate(
        node_id=f"node-{index}",
        state=state,
        incarnation=0,
        peer_address=f"10.0.{index // 250}.{index % 250}:7000",
        http_address=f"10.0.{index // 250}.{index % 250}:8000",
        data_centre=f"dc-{index % 3}",
        region="region-a",
    )


def start(index: int, members: int) -> Membership:
    """Start a node that knows the instance list."""
    node = Membership(MembershipSettings(), update(index), seed=index + 1)
    node.apply_instance_list([update(other) for other in range(members)], 0.0)
    return node


def start_members(members: int, loss: float = 0.0) -> MemberSimulation:
    """Start nodes that know each other, with their periods out of phase."""
    simulation = MemberSimulation({})
    simulation.loss = loss
    for index in range(members):
        simulation.now = index / members
        node = start(index, members)
        simulation.nodes[node.own_member.node_id] = node
        simulation.send(node, node.tick(simulation.now))
    return simulation
