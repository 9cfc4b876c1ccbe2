"""Change what the store publishes, and check that the nodes follow."""

import time
from collections.abc import Iterator

from .findings import Fault, Finding
from .odd_entries import ODD_FIELDS, odd_announcement, odd_worker
from .platform_checks import (
    DRAIN_BOUND_S,
    FAULT_AFTEREFFECT_S,
    CheckContext,
    checks,
)
from .platform_documents import DESK, ENGINES, MODEL
from .platform_faults import FaultContext, platform_faults
from .platform_history import RequestSeen, WindowKind
from .platform_store import OPERATOR_TOPIC, SERVER_TOPIC
from .platform_worker import server_stamp

# The platform's limit on how late a configuration may be in force.
APPLY_BOUND_S = 2.5
# A worker that says that it leaves goes on for this time after the drain bound, so that
# a late request would reach it.
LATE_PERIOD_S = 2.0


@platform_faults.register("odd_entry_written")
def write_odd_entry(context: FaultContext) -> None:
    """Let another writer leave odd entries among those of workers and the operator."""
    system = context.system
    service = context.random.choice([ENGINES, DESK])
    name = context.random.choice(list(ODD_FIELDS))
    system.write_bytes(SERVER_TOPIC, f"odd {service}", odd_worker(service, name))
    if context.random.random() < 0.5:
        system.write_bytes(OPERATOR_TOPIC, f"version/{MODEL}x", odd_announcement())


@platform_faults.register("worker_says_it_leaves")
def leave_by_answers(context: FaultContext) -> None:
    """Make a worker leave that says so in its answers only, until its entry goes."""
    with context.worker() as worker:
        if worker is not None:
            service = context.system.entries[worker.name]["Service"]
            context.system.add_worker(service)
            worker.leaving = True
            time.sleep(DRAIN_BOUND_S + LATE_PERIOD_S)
            context.system.update_entry(worker.name, None)


@platform_faults.register("route_added")
def add_route(context: FaultContext) -> None:
    """Write a configuration with one more route, which callers use from then on."""
    context.system.add_route()


@checks.register("added routes are served")
def check_added_routes(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that a node answered 404 long after their route was added."""
    for request in list(context.history.requests.values()):
        added_at = context.history.route_added_at(request.path)
        if request.status != 404 or request.began <= added_at + APPLY_BOUND_S:
            continue
        if not is_excused(context, request, added_at, WindowKind.STORE):
            after = request.began - added_at
            detail = f"404 from {request.node} {after:.1f} s after its route was added"
            yield Finding(Fault.STALE, request.request_id, detail)


@checks.register("leaving workers get no later requests")
def check_leaving(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that a node sent to a worker long after it passed on its leaving.

    Neither the store nor the links excuse it; a restart or freeze of the node does.
    """
    requests = list(context.history.requests.values())
    # The end of the first answer by node and worker.
    told_at: dict[tuple[str, str], float] = {}
    for request in requests:
        for run in context.runs.get(request.request_id, []):
            stamp = server_stamp(run.worker, request.request_id)
            if request.leaving and request.signature == stamp:
                key = (request.node, run.worker)
                told_at[key] = min(request.ended, told_at.get(key, request.ended))
    for request in requests:
        for run in context.runs.get(request.request_id, []):
            since = told_at.get((request.node, run.worker), float("inf"))
            late = request.began > since + DRAIN_BOUND_S
            if late and not is_excused(context, request, since):
                after = request.began - since
                detail = f"reached {run.worker} {after:.1f} s after it said it leaves"
                yield Finding(Fault.LATE_RUN, request.request_id, detail)


def is_excused(
    context: CheckContext, request: RequestSeen, begin: float, *kinds: WindowKind
) -> bool:
    """Tell whether a fault of the request's node explains a late reaction."""
    kinds = (WindowKind.PROCESS, WindowKind.STOP, *kinds)
    return any(
        window.kind in kinds
        and window.subject in ("", request.node)
        and window.overlaps(begin - FAULT_AFTEREFFECT_S, request.began)
        for window in list(context.history.windows)
    )
