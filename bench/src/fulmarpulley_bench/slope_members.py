"""Measure messages, bytes and processor time of membership in one process."""

import time
from collections import deque

import msgspec

from fulmarpulley_core.ids import NodeId
from fulmarpulley_core.membership import Membership, Outbound
from fulmarpulley_schema.generated.peer import MemberState, MemberUpdate
from fulmarpulley_schema.generated.settings import MembershipSettings

from .measure import (
    MEASUREMENTS,
    Point,
    Series,
    allocated_bytes,
    exclude_setup_from_gc,
    series,
)

SIZES = (9, 90, 360)
# After these periods the start-up updates have spread, also among 360 members.
WARM_UP_PERIODS = 200
PERIODS = 40
# Clock steps per probe period of 1 s; a power of two keeps sums of binary fractions
# exact.
TICKS_PER_PERIOD = 8


class Traffic(msgspec.Struct):
    """Hold the cost per node and second."""

    messages: float
    size: float
    cpu_us: float


class Cluster:
    """Deliver messages between members without delay, except to `unresponsive`."""

    def __init__(self, size: int) -> None:
        self.updates = [_update(number) for number in range(size)]
        self.nodes: dict[NodeId, Membership] = {}
        self.unresponsive: set[NodeId] = set()
        self.now = 0.0
        self.message_count = 0
        self.payload_bytes = 0
        for number, update in enumerate(self.updates):
            node = Membership(MembershipSettings(), update, seed=number + 1)
            node.apply_instance_list(self.updates, 0.0)
            self.nodes[NodeId(update.node_id)] = node

    def run(self, periods: int) -> Traffic:
        """Run some periods and return the mean cost per node and second."""
        self.message_count = self.payload_bytes = 0
        cpu = 0.0
        with exclude_setup_from_gc():
            for _ in range(periods * TICKS_PER_PERIOD):
                began = time.process_time()
                sent = self._tick()
                cpu += time.process_time() - began
                self._count(sent)
        nodes = (len(self.nodes) - len(self.unresponsive)) * periods
        return Traffic(
            self.message_count / nodes, self.payload_bytes / nodes, 1e6 * cpu / nodes
        )

    def _tick(self) -> list[Outbound]:
        self.now += 1.0 / TICKS_PER_PERIOD
        sent: list[Outbound] = []
        pending: deque[Outbound] = deque()
        for name, node in self.nodes.items():
            due = node.next_wakeup()
            if name not in self.unresponsive and (due is None or due <= self.now):
                pending.extend(node.tick(self.now))
        while pending:
            outbound = pending.popleft()
            sent.append(outbound)
            if outbound.target not in self.unresponsive:
                node = self.nodes[outbound.target]
                pending.extend(node.handle(outbound.kind, outbound.message, self.now))
        return sent

    def _count(self, sent: list[Outbound]) -> None:
        self.message_count += len(sent)
        self.payload_bytes += sum(
            len(msgspec.msgpack.encode(outbound.message)) for outbound in sent
        )


def _update(number: int) -> MemberUpdate:
    return MemberUpdate(
        node_id=f"node-{number:04d}",
        state=MemberState.ALIVE,
        incarnation=0,
        peer_address=f"10.0.{number // 250}.{number % 250}:7001",
        http_address=f"10.0.{number // 250}.{number % 250}:7000",
        data_centre=f"dc-{number % 13}",
        region=f"region-{number % 6}",
    )


@MEASUREMENTS.register("membership")
def measure_membership() -> list[Series]:
    """Measure a system without changes, the loss of a member, and node memory."""
    quiet: list[tuple[int, Traffic]] = []
    loss: list[tuple[int, Traffic]] = []
    for size in SIZES:
        cluster = Cluster(size)
        cluster.run(WARM_UP_PERIODS)
        quiet.append((size, cluster.run(PERIODS)))
        cluster.unresponsive.add(NodeId(cluster.updates[-1].node_id))
        loss.append((size, cluster.run(PERIODS)))
    measured = _series("quiet", quiet) + _series(f"one loss in {PERIODS} s", loss)
    points = [Point(size, _node_bytes(size)) for size in SIZES]
    return [*measured, series("membership.memory", "bytes per node", "members", points)]


def _series(label: str, traffic: list[tuple[int, Traffic]]) -> list[Series]:
    units = {
        "messages": "messages per node and s",
        "size": "payload bytes per node and s",
        "cpu_us": "us per node and s",
    }
    return [
        series(
            f"membership.{field} {label}",
            unit,
            "members",
            [Point(size, getattr(cost, field)) for size, cost in traffic],
        )
        for field, unit in units.items()
    ]


def _node_bytes(size: int) -> int:
    def create() -> Membership:
        updates = [_update(number) for number in range(size)]
        node = Membership(MembershipSettings(), updates[0], seed=1)
        node.apply_instance_list(updates, 0.0)
        return node

    return allocated_bytes(create)[0]
