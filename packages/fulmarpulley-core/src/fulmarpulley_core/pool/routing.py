"""Choose the upstream that runs a work item."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Protocol

from ..ids import PrefixId, UpstreamId
from ..placement import text_hash
from ..registry import Registry
from .load import load_tokens
from .messages import CacheReport, PoolSettings
from .state import Item, Upstream

# Engines evict older prefixes from their caches.
MAX_TRACKED_PREFIXES = 8192
# An upstream that holds the prefix is preferred up to this multiple of the mean load
# per slot, plus a slack of some items that keeps small groups together on an idle pool.
AFFINITY_LOAD_BOUND = 1.25
AFFINITY_SLACK_ITEMS = 2
# Connections that have been idle for this time are about to be closed.
CONNECTION_IDLE_S = 8.0
# Each version that an upstream is behind counts as this share of its load in addition.
STALENESS_LOAD_FACTOR = 0.5


class RoutingPolicy(Protocol):
    """Choose among the upstreams that can run an item now."""

    def __init__(self, settings: PoolSettings) -> None:
        """Create the policy with the settings of its pool."""

    def choose(
        self, item: Item, candidates: Sequence[Upstream], pool: "PoolLoad", now: float
    ) -> Upstream:
        """Return one of `candidates`, which is not empty."""

    def record_start(self, item: Item, upstream: Upstream) -> None:
        """Record that the item was sent to the upstream."""

    def record_cache_report(self, report: CacheReport) -> None:
        """Record a hint on the prefixes that an upstream holds."""


class PoolLoad(Protocol):
    """Define what a policy may query about the whole pool."""

    def usable(self) -> Iterable[Upstream]:
        """Return the upstreams that accept new attempts, including full ones."""

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""


ROUTING: Registry[type[RoutingPolicy]] = Registry("routing policy")


@ROUTING.register("round_robin")
class RoundRobin:
    """Choose the upstreams in turn, as a baseline for comparison."""

    def __init__(self, settings: PoolSettings) -> None:
        self._last = ""

    def choose(
        self, item: Item, candidates: Sequence[Upstream], pool: PoolLoad, now: float
    ) -> Upstream:
        """Return the next upstream by id."""
        after = [u for u in candidates if u.upstream_id > self._last]
        return min(after or candidates, key=lambda u: u.upstream_id)

    def record_start(self, item: Item, upstream: Upstream) -> None:
        """Continue after this upstream."""
        self._last = upstream.upstream_id

    def record_cache_report(self, report: CacheReport) -> None:
        """Ignore the hint."""


@ROUTING.register("least_tokens")
class LeastTokens:
    """Choose the least loaded upstream of the region, or one that holds the prefix."""

    def __init__(self, settings: PoolSettings) -> None:
        self._holders: OrderedDict[PrefixId, set[UpstreamId]] = OrderedDict()

    def choose(
        self, item: Item, candidates: Sequence[Upstream], pool: PoolLoad, now: float
    ) -> Upstream:
        """Return the best upstream; other regions, over a paid link, come last."""
        others = _without_avoided(item, candidates)
        region = item.work.region
        same_region = [u for u in others if u.entry.region == region] or others
        if len(same_region) == 1:
            return same_region[0]
        holders = self._holders_below_bound(item, same_region, pool, now)
        return min(
            holders or same_region,
            key=lambda u: (
                self._score(item, u, pool, now),
                u.started_attempts,
                self._tie_breaker(u),
            ),
        )

    def record_start(self, item: Item, upstream: Upstream) -> None:
        """Record that the upstream holds the prefix of the item."""
        if item.work.prefix:
            self._add_holder(item.work.prefix, upstream.upstream_id)

    def record_cache_report(self, report: CacheReport) -> None:
        """Update the tracked prefixes by what the upstream reports."""
        for prefix in report.removed:
            holders = self._holders.get(prefix)
            if holders is not None:
                holders.discard(report.upstream)
        for prefix in report.added:
            self._add_holder(prefix, report.upstream)

    def _tie_breaker(self, upstream: Upstream) -> int:
        return 0

    def _add_holder(self, prefix: PrefixId, upstream: UpstreamId) -> None:
        holders = self._holders.setdefault(prefix, set())
        holders.add(upstream)
        self._holders.move_to_end(prefix)
        if len(self._holders) > MAX_TRACKED_PREFIXES:
            self._holders.popitem(last=False)

    def _holders_below_bound(
        self, item: Item, same_region: Sequence[Upstream], pool: PoolLoad, now: float
    ) -> list[Upstream]:
        ids = self._holders.get(item.work.prefix)
        holders = [u for u in same_region if u.upstream_id in ids] if ids else []
        if not holders:
            return []
        usable = list(pool.usable())
        total = sum(load_tokens(u, now) for u in usable)
        slots = sum(u.slots for u in usable)
        bound = AFFINITY_LOAD_BOUND * total / max(1, slots)
        slack = AFFINITY_SLACK_ITEMS * item.charge
        return [u for u in holders if load_tokens(u, now) < bound * u.slots + slack]

    def _score(
        self, item: Item, upstream: Upstream, pool: PoolLoad, now: float
    ) -> float:
        tokens = load_tokens(upstream, now) + item.charge
        behind = pool.versions_behind(item, upstream)
        return tokens * (1 + STALENESS_LOAD_FACTOR * behind) / upstream.entry.capacity


@ROUTING.register("open_connection")
class OpenConnection(LeastTokens):
    """Prefer the upstream that was used last, since its connection is still open.

    Serves desks whose few requests are spread over many nodes: if the upstreams were
    used in turn, each request would find its connection already closed.
    """

    def __init__(self, settings: PoolSettings) -> None:
        super().__init__(settings)
        self._prefix = settings.id_prefix
        self._used_at: dict[UpstreamId, float] = {}

    def choose(
        self, item: Item, candidates: Sequence[Upstream], pool: PoolLoad, now: float
    ) -> Upstream:
        """Return an idle upstream with an open connection, else the least loaded."""
        chosen = self._last_connected(item, candidates, now) or super().choose(
            item, candidates, pool, now
        )
        self._used_at[chosen.upstream_id] = now
        return chosen

    def _last_connected(
        self, item: Item, candidates: Sequence[Upstream], now: float
    ) -> Upstream | None:
        used_at = self._used_at
        eligible = [
            u
            for u in candidates
            if not u.attempts
            and u.upstream_id not in item.avoided
            and used_at.get(u.upstream_id, -math.inf) > now - CONNECTION_IDLE_S
        ]
        return max(eligible, key=lambda u: used_at[u.upstream_id], default=None)

    def _tie_breaker(self, upstream: Upstream) -> int:
        # The order differs by node; nodes that all began with the same upstream would
        # all stay with it.
        return text_hash(f"{self._prefix}{upstream.upstream_id}")


def _without_avoided(item: Item, candidates: Sequence[Upstream]) -> Sequence[Upstream]:
    """Return the upstreams that did not fail the item, else all but the last one."""
    untried = [u for u in candidates if u.upstream_id not in item.avoided]
    last = item.avoided[-1] if item.avoided else None
    return untried or [u for u in candidates if u.upstream_id != last] or candidates
