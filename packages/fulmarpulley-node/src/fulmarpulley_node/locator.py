"""Find the nodes that own claim partitions, pool shards and trainers."""

from collections import Counter

from msgspec.structs import replace

from fulmarpulley_core.ids import NodeId, Region
from fulmarpulley_core.placement import home_of, rank_nodes, shard_count, shard_of
from fulmarpulley_schema.generated.document import ServiceDocument

from .members import Members


class Locator:
    """Find home nodes by rendezvous hash over the current members."""

    def __init__(self, members: Members) -> None:
        self.members = members

    def pool_home(self, document: ServiceDocument, shard: int) -> NodeId | None:
        """Return the home of a pool shard, in the region of its upstreams."""
        key = f"{document.name}/pool-{shard}"
        return home_of(key, self.members.home_candidates(), pool_region(document))

    def step_home(self, document: ServiceDocument, trainer: str) -> NodeId | None:
        """Return the home of the steps of a trainer."""
        key = f"{document.name}/{trainer}"
        return home_of(key, self.members.home_candidates(), pool_region(document))

    def next_step_home(self, document: ServiceDocument, trainer: str) -> NodeId | None:
        """Return the step home if this node were not a member."""
        others = [
            m
            for m in self.members.home_candidates()
            if m.node_id != self.members.node_id
        ]
        key = f"{document.name}/{trainer}"
        ranked = rank_nodes(key, others, pool_region(document))
        return ranked[0] if ranked else None

    def partition_home(self, partition: int) -> NodeId | None:
        """Return the home of a claim partition."""
        return home_of(f"partition-{partition}", self.members.home_candidates())

    def config_home(self) -> NodeId | None:
        """Return the node that schedules configuration snapshots."""
        return home_of("config", self.members.home_candidates())


def pool_region(document: ServiceDocument) -> Region | None:
    """Return the region with the most upstreams; ties go to the first by name."""
    counts = Counter(entry.region for entry in document.upstreams)
    if not counts:
        return None
    return Region(min(counts, key=lambda region: (-counts[region], region)))


def pool_shard_count(document: ServiceDocument) -> int:
    """Return the number of pool shards of a service."""
    return shard_count(len(document.upstreams))


def work_shard(document: ServiceDocument, prefix: str) -> int:
    """Return the pool shard of a prompt prefix."""
    return shard_of(prefix, pool_shard_count(document))


def shard_document(document: ServiceDocument, shard: int) -> ServiceDocument:
    """Return the document with the upstreams of one shard only."""
    upstreams = document.upstreams[shard :: pool_shard_count(document)]
    return replace(document, upstreams=upstreams)
