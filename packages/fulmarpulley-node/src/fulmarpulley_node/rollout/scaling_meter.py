"""Measure the load of a service's pool for the scaling decision."""

import math

from fulmarpulley_core.ids import ServiceName, StepId, UpstreamId
from fulmarpulley_core.pool.messages import Availability
from fulmarpulley_core.pool.state import HealthState, Item, Upstream
from fulmarpulley_core.rollout.scaling_load import OpenStep, PoolLoad
from fulmarpulley_core.rollout.scaling_orders import Subject
from fulmarpulley_core.rollout.scaling_presence import Presence, SeenUpstream
from fulmarpulley_core.rollout.upstreams import ListedState, ListedUpstream

from .directory import Directory
from .pool_driver import PoolDriver
from .step_home import StepHome


class LoadMeter:
    """Measure the load of one service at its step home."""

    def __init__(self, directory: Directory, service: ServiceName) -> None:
        self.directory = directory
        self.service = service
        self.known_steps: set[StepId] = set()
        self.arrived_steps = 0
        self.arrived_tokens = 0.0

    def upstreams(self, home: StepHome | None) -> tuple[SeenUpstream, ...]:
        """Return the listed upstreams and their states."""
        pool = home.pools.pools.get(self.service) if home else None
        return tuple(
            SeenUpstream(
                entry.upstream_id,
                Subject(entry.data_centre, entry.spot),
                _presence(entry, pool),
            )
            for entry in self.directory.upstreams_for_service(self.service)
        )

    def load(
        self, home: StepHome | None, loop_s: float, now_s: float
    ) -> PoolLoad | None:
        """Return the load; None without a pool of engines.

        :param loop_s: time by the clock of the pool
        :param now_s: the same time by the clock of the decision
        """
        pool = home.pools.pools.get(self.service) if home else None
        if home is None or pool is None:
            return None
        components = pool.pool.components
        steps = self._open_steps(home, pool, now_s - loop_s)
        pace = components.lengths.seconds_per_token
        limit = components.document.limits.tokens_in_flight
        serving = [
            upstream
            for upstream in components.ledger.upstreams.values()
            if upstream.availability() is Availability.AVAILABLE
        ]
        return PoolLoad(
            steps=steps,
            waiting=components.queue.waiting,
            slots=sum(upstream.entry.capacity for upstream in serving),
            slots_taken=sum(_taken(upstream, limit) for upstream in serving),
            seconds_per_token=pace.value if pace.count else None,
            arrived_steps=self.arrived_steps,
            arrived_tokens=self.arrived_tokens,
        )

    def _open_steps(
        self, home: StepHome, pool: PoolDriver, offset_s: float
    ) -> tuple[OpenStep, ...]:
        routes = self.directory.routes
        components = pool.pool.components
        found: dict[StepId, OpenStep] = {}
        for run in home.runs.values():
            item = components.ledger.items.get(run.work_id)
            route = routes and routes.find(run.step.accepted.host, run.item.path)
            if item is None or not route or not route.result_deadline_s:
                continue
            # The clock of the node that accepted the step may be off.
            due_s = item.submitted_at + offset_s + route.result_deadline_s
            tokens = float(components.lengths.predict(item) - _received(item))
            known = found.get(run.step.step_id, OpenStep(math.inf, 0.0, 0))
            found[run.step.step_id] = OpenStep(
                min(known.due_s, due_s),
                known.tokens + max(1.0, tokens),
                known.items + 1,
            )
        new = found.keys() - self.known_steps
        self.known_steps = set(found)
        self.arrived_steps += len(new)
        self.arrived_tokens += sum(found[step_id].tokens for step_id in new)
        return tuple(found.values())


def _received(item: Item) -> int:
    tokens = (attempt.tokens for attempt in item.attempts)
    return max(item.received_tokens, *tokens, 0)


def _presence(entry: ListedUpstream, pool: PoolDriver | None) -> Presence:
    draining = entry.state is ListedState.DRAINING
    if entry.leaves_ms is not None or (entry.spot and draining):
        return Presence.LEAVING
    if draining:
        return Presence.DRAINING
    if pool is not None and _is_unreachable(pool, entry.upstream_id):
        return Presence.UNREACHABLE
    return Presence.SERVING


def _is_unreachable(pool: PoolDriver, upstream_id: UpstreamId) -> bool:
    """Tell whether an upstream is out of use for failures, not because it is slow."""
    upstream = pool.pool.components.ledger.upstreams.get(upstream_id)
    if upstream is None or upstream.health.slow:
        return False
    return upstream.health.state in (HealthState.EJECTED, HealthState.PROBING)


def _taken(upstream: Upstream, token_limit: int) -> int:
    """Return the slots of an upstream that no further item can take."""
    capacity, running = upstream.entry.capacity, len(upstream.attempts)
    each = upstream.tokens_in_flight // running if running else 0
    free = upstream.is_free() and upstream.has_room(each, token_limit)
    return min(capacity, running) if free and not upstream.loading else capacity
