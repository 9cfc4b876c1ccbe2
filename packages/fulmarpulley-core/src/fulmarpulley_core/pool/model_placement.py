"""Assign upstreams to models, so that each loads the versions of few models.

With several trainers on the same engines, an engine that loads every version spends
half of its time loading.
"""

import math
from collections.abc import Mapping, Sequence

from ..ids import ModelName, UpstreamId, Version
from ..placement import text_hash
from .state import Upstream

# Time constant of the decay of demand, so that a trainer that has stopped counts less.
DEMAND_DECAY_S = 20.0
# Quotas change only when a model's ideal one differs by more than this many upstreams.
QUOTA_TOLERANCE = 0.75


class ModelPlacement:
    """Track the demand for each model and assign upstreams by it."""

    def __init__(self) -> None:
        self.quotas: dict[ModelName, int] = {}
        self.placed: dict[ModelName, set[UpstreamId]] = {}
        self._demand: dict[ModelName, float] = {}
        self._demand_at = 0.0

    def record_demand(self, model: ModelName, tokens: int, now: float) -> None:
        """Add the tokens that new work of a model is expected to take."""
        decay = math.exp((self._demand_at - now) / DEMAND_DECAY_S)
        self._demand = {name: value * decay for name, value in self._demand.items()}
        self._demand_at = now
        self._demand[model] = self._demand.get(model, 0.0) + tokens

    def place(
        self, models: Sequence[ModelName], upstreams: Sequence[Upstream]
    ) -> dict[ModelName, set[UpstreamId]]:
        """Return the upstreams that are to serve each model."""
        if len(models) < 2 or len(upstreams) < len(models):
            all_upstreams = {u.upstream_id for u in upstreams}
            self.placed = {}
            return dict.fromkeys(models, all_upstreams)
        self._update_quotas(models, len(upstreams))
        placed: dict[ModelName, set[UpstreamId]] = {model: set() for model in models}
        taken: set[UpstreamId] = set()
        pairs = [(model, u) for model in models for u in upstreams]
        for model, upstream in sorted(pairs, key=self._preference):
            name = upstream.upstream_id
            if name not in taken and len(placed[model]) < self.quotas[model]:
                placed[model].add(name)
                taken.add(name)
        self.placed = placed
        return placed

    def _preference(self, pair: tuple[ModelName, Upstream]) -> tuple[bool, int, int]:
        # An upstream keeps its model, even before it has loaded it; an unassigned one
        # gets the model of which it serves the newest version.
        model, upstream = pair
        name = upstream.upstream_id
        served = upstream.versions.get(model, Version(0))
        moves = name not in self.placed.get(model, ())
        return (moves, -served, text_hash(f"{model}@{name}"))

    def _update_quotas(self, models: Sequence[ModelName], count: int) -> None:
        ideal = _ideal_quotas(models, self._demand, count)
        unchanged = (
            set(self.quotas) == set(models) and sum(self.quotas.values()) == count
        )
        if unchanged and all(
            abs(ideal[model] - self.quotas[model]) <= QUOTA_TOLERANCE
            for model in models
        ):
            return
        self.quotas = _round_quotas(ideal, count)


def _ideal_quotas(
    models: Sequence[ModelName], demand: Mapping[ModelName, float], count: int
) -> dict[ModelName, float]:
    total = sum(demand.get(model, 0.0) for model in models)
    if total <= 0:
        return {model: count / len(models) for model in models}
    return {model: count * demand.get(model, 0.0) / total for model in models}


def _round_quotas(ideal: Mapping[ModelName, float], count: int) -> dict[ModelName, int]:
    """Round to whole upstreams, two for each model where there are enough."""
    least = 2 if count >= 2 * len(ideal) else 1
    quotas = {model: max(least, math.floor(share)) for model, share in ideal.items()}
    while sum(quotas.values()) < count:
        model = max(ideal, key=lambda m: (ideal[m] - quotas[m], m))
        quotas[model] += 1
    while sum(quotas.values()) > count:
        reducible = [model for model in ideal if quotas[model] > least]
        model = min(reducible, key=lambda m: (ideal[m] - quotas[m], m))
        quotas[model] -= 1
    return quotas
