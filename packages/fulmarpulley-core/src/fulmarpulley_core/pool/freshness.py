"""Decide which versions are new enough for a work item."""

import math

import msgspec

from fulmarpulley_schema.generated.document import ServiceDocument, ServiceKind

from ..ids import ModelName, Version
from .hedging import LengthEstimator
from .ledger import Ledger
from .means import Mean
from .state import Item, Upstream

# After this many mean intervals without an announcement, no version is predicted.
OVERDUE_INTERVALS = 2.0
# After an announcement, samples wait for the new version for at most this multiple of
# all swap pauses in sequence; the transfers take about as long as the pauses.
SWAP_WAIT_FACTOR = 2.0


class AnnouncementTimes(msgspec.Struct, eq=False):
    """Hold the last announcement of a model and the mean interval between versions."""

    last_at: float
    interval_s: Mean = msgspec.field(default_factory=Mean)


class Freshness:
    """Track the newest announced version of each model."""

    def __init__(
        self, document: ServiceDocument, ledger: Ledger, lengths: LengthEstimator
    ) -> None:
        self.document = document
        self.newest: dict[ModelName, Version] = {}
        self._ledger = ledger
        self._lengths = lengths
        self._announcements: dict[ModelName, AnnouncementTimes] = {}

    def announce(self, model: ModelName, version: Version, now: float) -> bool:
        """Record a version and tell whether it is newer than all earlier ones."""
        known = self.newest.get(model)
        if known is not None and version <= known:
            return False
        self.newest[model] = version
        times = self._announcements.setdefault(model, AnnouncementTimes(now))
        if known is not None:
            times.interval_s.add((now - times.last_at) / (version - known))
        times.last_at = now
        return True

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""
        version = upstream.versions.get(item.work.model)
        return 0 if version is None else self._behind(item, version)

    def has_stale_tokens(self, item: Item) -> bool:
        """Tell whether the received tokens of a sample exceed its staleness bound."""
        if not item.is_sample or item.oldest_version is None:
            return False
        return self._behind(item, item.oldest_version) > self._staleness_bound(item)

    def oldest_allowed(self, item: Item, now: float) -> Version:
        """Return the oldest version that an item may be started with.

        Versions that are expected while a sample runs count against its staleness
        bound, so that it is not started where it cannot finish within the bound.
        """
        work = item.work
        newest = self.newest.get(work.model)
        if not self._is_training_sample(item) or newest is None:
            return work.min_version
        if now < self.swap_wait_end(work.model):
            return max(work.min_version, newest)
        spare = self._staleness_bound(item) - self._expected_versions(item, now)
        return max(work.min_version, Version(newest - spare))

    def swap_wait_end(self, model: ModelName) -> float:
        """Return until when samples wait for upstreams to load the newest version.

        A sample that starts on the old version during the swaps is one version staler,
        and must be generated again if its trainer takes it after the next version.
        """
        times = self._announcements.get(model)
        if times is None:
            return -math.inf
        weights = self.document.weights
        rounds = math.ceil(len(self.document.upstreams) / weights.swaps_at_once)
        return times.last_at + SWAP_WAIT_FACTOR * rounds * weights.swap_s

    def may_run(self, item: Item, upstream: Upstream, oldest: Version) -> bool:
        """Tell whether the upstream serves a version that is new enough.

        An upstream that reports no version cannot serve a training service.
        """
        version = upstream.versions.get(item.work.model)
        if version is None:
            return not self._is_training_sample(item) and not oldest
        return version >= oldest

    def _is_training_sample(self, item: Item) -> bool:
        return item.is_sample and self.document.kind is ServiceKind.TRAINING

    def _staleness_bound(self, item: Item) -> int:
        bound = item.work.staleness_bound
        return self.document.staleness_bound if bound is None else bound

    def _behind(self, item: Item, version: Version) -> int:
        return max(0, self.newest.get(item.work.model, version) - version)

    def _expected_versions(self, item: Item, now: float) -> int:
        # A trainer publishes a version after each step. No version is expected for
        # samples of its oldest open step: it comes only after they have finished, so
        # waiting for it would be a deadlock.
        steps = self._ledger.open_items_by_step[item.work.tenant]
        earlier = sum(step < item.work.step for step in steps)
        times = self._announcements.get(item.work.model)
        if not earlier or times is None or not times.interval_s.count:
            return 0
        since = now - times.last_at
        interval = times.interval_s.value
        if interval <= 0 or since > OVERDUE_INTERVALS * interval:
            return 0
        left = self._lengths.predict(item) - item.received_tokens
        duration = left * self._lengths.seconds_per_token.value
        return min(earlier, math.floor((since + duration) / interval))
