"""Send requests that crash workers, and check that the nodes stop passing them on."""

import itertools
import time
from collections.abc import Iterator
from http.client import HTTPException

from .findings import Fault, Finding
from .platform_checks import FAULT_AFTEREFFECT_S, CheckContext, checks
from .platform_documents import DESK_PREFIX, UNSAFE_PREFIX
from .platform_faults import FaultContext, platform_faults
from .platform_history import RequestSeen, WindowKind

# Each node must know what crashed three workers within this time, and this many runs
# are tolerated afterwards.
KNOWN_AFTER_S = 3.0
CRASHES_TO_KNOW = 3
TOLERATED_RUNS = 3
MIN_PERIOD_S = 4.0
MAX_PERIOD_S = 9.0
REQUEST_PAUSE_S = 0.2
DEADLINE_MS = 1000
BLOCKED_CODE = b"crashes_upstreams"


@platform_faults.register("request_crashes_workers")
def send_deadly_requests(context: FaultContext) -> None:
    """Send the same deadly request to random nodes for a while."""
    history = context.system.history
    body = f"deadly {context.seed}".encode()
    prefix = context.random.choice([DESK_PREFIX, UNSAFE_PREFIX])
    context.system.platform.deadly_bodies.add(body)
    end = time.monotonic() + context.random.uniform(MIN_PERIOD_S, MAX_PERIOD_S)
    with context.window(WindowKind.UPSTREAM):
        for number in itertools.count():
            if time.monotonic() > end:
                return
            request = RequestSeen(
                request_id=f"deadly-{context.seed}-{number}",
                node=context.random.choice(context.system.nodes).name,
                path=f"{prefix}deadly",
                body=body,
                repeatable=prefix == DESK_PREFIX,
                began=time.monotonic(),
            )
            history.requests[request.request_id] = request
            _send(context, request)
            time.sleep(REQUEST_PAUSE_S)


def _send(context: FaultContext, request: RequestSeen) -> None:
    node = next(n for n in context.system.nodes if n.name == request.node)
    try:
        answer = node.call(
            "POST",
            request.path,
            request.body,
            Request_Id=request.request_id,
            Deadline_Ms=str(DEADLINE_MS),
        )
        request.status, request.answer = answer.status, answer.body
    except (OSError, HTTPException):
        request.status = 0
    request.ended = time.monotonic()


@checks.register("requests that crash workers are not passed on")
def check_deadly(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that reach workers long after they crashed some.

    A node that was stopped, suspended or cut off from the store need not know yet.
    """
    runs_by_body: dict[bytes, list[tuple[float, RequestSeen]]] = {}
    for request in list(context.history.requests.values()):
        for run in context.runs.get(request.request_id, []):
            if run.crashed:
                runs = runs_by_body.setdefault(request.body, [])
                runs.append((run.started, request))
    for body, runs in runs_by_body.items():
        runs.sort(key=lambda entry: entry[0])
        if len(runs) < CRASHES_TO_KNOW:
            continue
        known_at = runs[CRASHES_TO_KNOW - 1][0] + KNOWN_AFTER_S
        late = [
            request
            for started, request in runs
            if started > known_at and not _excused(context, request, started)
        ]
        if len(late) > TOLERATED_RUNS:
            detail = f"{len(late)} late runs, {len(runs)} in all"
            yield Finding(Fault.LATE_RUN, body.decode(), detail)


@checks.register("other requests are not taken for crashing ones")
def check_innocent(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find refusals of requests that crash no worker, for crashes of workers."""
    for request in list(context.history.requests.values()):
        innocent = not request.body.startswith(b"deadly")
        if innocent and BLOCKED_CODE in request.answer:
            detail = f"refused by {request.node}"
            yield Finding(Fault.LOST_ANSWER, request.request_id, detail)


def _excused(context: CheckContext, request: RequestSeen, started: float) -> bool:
    """Tell whether a fault kept the node of a request from knowing."""
    begin = started - KNOWN_AFTER_S - FAULT_AFTEREFFECT_S
    kinds = (WindowKind.PROCESS, WindowKind.STOP, WindowKind.STORE)
    return any(
        window.kind in kinds
        and window.subject in ("", request.node)
        and window.overlaps(begin, started)
        for window in list(context.history.windows)
    )
