"""Map keys to home nodes, claim partitions and pool shards by hash."""

from collections.abc import Iterable
from typing import Protocol

import xxhash

from .ids import NodeId, Partition, Region

SHARD_UPSTREAMS = 32


class NodeLocation(Protocol):
    """Define the node attributes that placement uses."""

    @property
    def node_id(self) -> NodeId:
        """Return the id of the node."""

    @property
    def region(self) -> Region:
        """Return the region of the node."""


def rank_nodes(
    key: str, nodes: Iterable[NodeLocation], region: Region | None = None
) -> list[NodeId]:
    """Sort nodes by rendezvous hash of a key, nodes of the region first."""
    ranked = sorted(
        nodes,
        key=lambda node: (
            region is not None and node.region != region,
            -_weight(key, node.node_id),
            node.node_id,
        ),
    )
    return [node.node_id for node in ranked]


def home_of(
    key: str, nodes: Iterable[NodeLocation], region: Region | None = None
) -> NodeId | None:
    """Return the home node of a key, or None if there are no nodes."""
    best: tuple[bool, int, str] | None = None
    home: NodeId | None = None
    for node in nodes:
        outside = region is not None and node.region != region
        rank = (outside, -_weight(key, node.node_id), node.node_id)
        if best is None or rank < best:
            best, home = rank, node.node_id
    return home


def partition_of(service: str, key: str, partitions: int) -> Partition:
    """Return the claim partition of a caller's key."""
    return Partition(text_hash(f"{service}/{key}") % partitions)


def shard_of(prefix: str, shards: int) -> int:
    """Return the pool shard of a prompt prefix."""
    return text_hash(prefix) % shards


def shard_count(upstreams: int) -> int:
    """Return the number of shards of a pool with this many upstreams."""
    return max(1, -(-upstreams // SHARD_UPSTREAMS))


def _weight(key: str, node: str) -> int:
    return text_hash(f"{key}\x00{node}")


def text_hash(text: str) -> int:
    """Return a 64-bit hash that is the same on all nodes."""
    return xxhash.xxh64_intdigest(text.encode())
