"""Decide which upstreams serve a version that is new enough for a work item."""

from fulmarpulley_schema.generated.document import ServiceDocument, ServiceKind

from ..ids import ModelName, Version
from .state import Item, Upstream


class Freshness:
    """Hold the newest announced version of each model."""

    def __init__(self, document: ServiceDocument) -> None:
        self.document = document
        self.newest: dict[ModelName, Version] = {}

    def announce(self, model: ModelName, version: Version) -> bool:
        """Remember a version and tell whether it is newer than all before."""
        known = self.newest.get(model)
        if known is not None and version <= known:
            return False
        self.newest[model] = version
        return True

    def bound(self, item: Item) -> int:
        """Return how many versions a sample may be behind its trainer."""
        bound = item.work.staleness_bound
        return self.document.staleness_bound if bound is None else bound

    def versions_behind(self, item: Item, upstream: Upstream) -> int:
        """Return how many versions the upstream is behind for the item's model."""
        model = item.work.model
        version = upstream.versions.get(model)
        if version is None:
            return 0
        return max(0, self.newest.get(model, version) - version)

    def may_run(self, item: Item, upstream: Upstream) -> bool:
        """Tell whether the version of the upstream suits the item.

        An upstream that reports no version cannot serve a training service.
        """
        work = item.work
        version = upstream.versions.get(work.model)
        labelled = self.document.kind is ServiceKind.TRAINING and item.is_sample
        if not labelled:
            return work.min_version <= (version or 0)
        if version is None or version < work.min_version:
            return False
        return self.versions_behind(item, upstream) <= self.bound(item)
