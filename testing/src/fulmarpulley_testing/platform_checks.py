"""Check the promises on the platform from what clients and workers saw."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import Any

from fulmarpulley_core.registry import Registry

from .findings import Fault, Finding
from .platform_history import PlatformHistory, RequestSeen, StepSeen, WindowKind
from .platform_system import ENGINES, reward_id
from .platform_worker import PlatformWorker, Run, stamp_of

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# Bounds of the platform for the cancellation of a step and for a draining worker.
CANCEL_S = 3.0
DRAIN_S = 2.5
# A fault that ended this long ago may still have an effect.
STABLE_S = 3.0
THAW_S = 0.3

Check = Callable[["History", bool], Iterator[Finding]]
checks: Registry[Check] = Registry("check on the platform")


class History:
    """Hold the history of a soak with the runs of each request."""

    def __init__(
        self,
        seen: PlatformHistory,
        workers: Mapping[str, PlatformWorker],
        lease_s: float,
    ) -> None:
        self.seen = seen
        self.workers = workers
        self.lease_s = lease_s
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for worker in list(workers.values()):
            for run in list(worker.runs):
                self.runs[run.request_id].append(run)

    def items(self, step: StepSeen) -> Iterator[str]:
        """Yield the ids of the items of a step."""
        return (f"{step.step_id}-{number}" for number in range(step.items))


def check_all(history: History, final: bool) -> list[Finding]:
    """Run all checks; those on what is still to come only at the end."""
    return [finding for name in checks for finding in checks.get(name)(history, final)]


@checks.register("refusals are true")
def check_refusals(history: History, final: bool) -> Iterator[Finding]:
    """Find work that was refused as not run and has run."""
    for request in list(history.seen.requests.values()):
        promised = request.status in PROMISES and not request.repeatable
        if promised and history.runs.get(request.request_id):
            detail = f"answered {request.status} and ran"
            yield Finding(Fault.FALSE_NOT_RUN, request.request_id, detail)
    for step in list(history.seen.steps.values()):
        if step.accepted_at is None and step.refused:
            items = list(history.items(step))
            calls = [reward_id(item) for item in items]
            ran = [name for name in items + calls if history.runs.get(name)]
            if ran:
                yield Finding(Fault.FALSE_NOT_RUN, step.step_id, f"items ran: {ran}")


@checks.register("requests run once")
def check_repeated(history: History, final: bool) -> Iterator[Finding]:
    """Find requests that must not be repeated and ran twice."""
    for request in list(history.seen.requests.values()):
        runs = history.runs.get(request.request_id, [])
        if not request.repeatable and len(runs) > 1:
            where = ", ".join(run.worker for run in runs)
            yield Finding(Fault.REPEATED_RUN, request.request_id, f"ran at {where}")


@checks.register("answers are whole")
def check_answers(history: History, final: bool) -> Iterator[Finding]:
    """Find answers that are not the upstream's whole answer to the request."""
    for request in list(history.seen.requests.values()):
        if request.status == 200:
            if request.answer_id != request.request_id:
                yield Finding(
                    Fault.FOREIGN_ANSWER, request.request_id, request.answer_id
                )
            elif request.answer != b"answer " + request.body:
                yield Finding(
                    Fault.CUT_ANSWER, request.request_id, repr(request.answer)
                )


@checks.register("requests are forwarded unchanged")
def check_forwarded(history: History, final: bool) -> Iterator[Finding]:
    """Find runs that no client asked for, or with another path or body."""
    steps = list(history.seen.steps.values())
    items = {item for step in steps for item in history.items(step)}
    calls = {reward_id(item) for s in steps if s.rewards for item in history.items(s)}
    for request_id, runs in list(history.runs.items()):
        request = history.seen.requests.get(request_id)
        if request is None:
            if request_id not in items | calls:
                yield Finding(Fault.FOREIGN_ANSWER, request_id, "nobody asked for it")
            continue
        for run in runs:
            if (run.method, run.path, run.body) != ("POST", request.path, request.body):
                yield Finding(Fault.FOREIGN_ANSWER, request_id, f"ran as {run.path}")


@checks.register("graceful stops cut nothing")
def check_stops(history: History, final: bool) -> Iterator[Finding]:
    """Find requests that a node's graceful stop cut while an upstream ran them."""
    for request in list(history.seen.requests.values()):
        if request.status == 0 and request.ended and _was_cut_by_stop(history, request):
            yield Finding(Fault.CUT_ANSWER, request.request_id, f"at {request.node}")
    for exit_code in history.seen.bad_exits:
        yield Finding(Fault.CUT_ANSWER, exit_code, "a graceful stop failed")


def _was_cut_by_stop(history: History, request: RequestSeen) -> bool:
    seen = history.seen
    begin, end = request.began - STABLE_S, request.ended
    unplanned = (WindowKind.PROCESS, WindowKind.UPSTREAM, WindowKind.STORE)
    stopped = any(
        w.kind is WindowKind.STOP
        and w.subject == request.node
        and w.overlaps(request.began, end)
        for w in list(seen.windows)
    )
    ran = bool(history.runs.get(request.request_id))
    return stopped and ran and not seen.disturbed(begin, end, *unplanned)


@checks.register("results are kept")
def check_kept(history: History, final: bool) -> Iterator[Finding]:
    """Find steps that were accepted and are lost or never end."""
    for step in list(history.seen.steps.values()):
        if step.accepted_at is None:
            continue
        if step.missing_at:
            yield Finding(Fault.LOST_SLOT, step.step_id, "unknown after its acceptance")
        if final and step.ended_at is None and not step.whole:
            detail = f"{len(step.results)} of {step.items} results"
            yield Finding(Fault.LOST_SLOT, step.step_id, detail)


@checks.register("results do not change")
def check_positions(history: History, final: bool) -> Iterator[Finding]:
    """Find results that changed, stand twice or are not of the step."""
    for step in list(history.seen.steps.values()):
        for place in step.changed:
            yield Finding(Fault.FOREIGN_SAMPLE, step.step_id, f"{place} changed")
        ids = [result["Id"] for result in list(step.results.values())]
        for item in sorted({item for item in ids if ids.count(item) > 1}):
            yield Finding(Fault.DOUBLED_SLOT, item, "stands at two positions")
        for item in sorted(set(ids) - set(history.items(step))):
            yield Finding(Fault.FOREIGN_SAMPLE, item, f"is none of {step.step_id}")


@checks.register("results are whole and labelled")
def check_results(history: History, final: bool) -> Iterator[Finding]:
    """Find results whose text or versions are not those of the runs."""
    for step in list(history.seen.steps.values()):
        for result in list(step.results.values()):
            yield from _check_result(history, step, result)


def _check_result(history: History, step: StepSeen, result: Any) -> Iterator[Finding]:
    item = result["Id"]
    if result["State"] != "completed":
        yield Finding(Fault.LOST_SLOT, item, f"is {result['State']}")
        return
    runs = history.runs.get(item, [])
    events = max((run.resume_after + run.events for run in runs), default=0)
    text = "\n".join(f"{item}:{number}" for number in range(1, events + 1))
    if result["Text"] != text:
        yield Finding(Fault.CUT_SAMPLE, item, f"text of {len(result['Text'])} bytes")
    versions = set(result["Versions"])
    made = {version for run in runs for version in run.versions}
    if not versions or not versions <= made or (len(runs) == 1 and versions != made):
        yield Finding(Fault.MISLABELLED, item, f"{versions} instead of {made}")
    if min(versions, default=step.min_version) < step.min_version:
        yield Finding(Fault.STALE, item, f"{versions} below {step.min_version}")


@checks.register("scores are earned")
def check_scores(history: History, final: bool) -> Iterator[Finding]:
    """Find scores that are no signature of the item's call after its last event."""
    for step in list(history.seen.steps.values()):
        for result in list(step.results.values()):
            item, score = result["Id"], result.get("Score")
            if not step.rewards:
                if score is not None:
                    yield Finding(Fault.MISLABELLED, item, f"has the score {score}")
                continue
            if result["State"] == "completed" and not _was_earned(history, item, score):
                yield Finding(Fault.MISLABELLED, item, f"did not earn {score}")


def _was_earned(history: History, item: str, score: str | None) -> bool:
    whole = [run.last_event for run in history.runs.get(item, []) if run.complete]
    earliest = min(whole, default=float("inf"))
    call = reward_id(item)
    return any(
        run.complete and stamp_of(run.worker, call) == score and run.started >= earliest
        for run in history.runs.get(call, [])
    )


@checks.register("ended steps do not run")
def check_ended(history: History, final: bool) -> Iterator[Finding]:
    """Find items that started after the end of their step was acknowledged."""
    for step in list(history.seen.steps.values()):
        if step.ended_at is None:
            continue
        due = step.ended_at + CANCEL_S
        items = list(history.items(step))
        for item in items + [reward_id(item) for item in items]:
            late = [run for run in history.runs.get(item, []) if run.started > due]
            if late and not _hindered(history, step.ended_at, late[0].started):
                after = late[0].started - step.ended_at
                yield Finding(Fault.LATE_RUN, item, f"{after:.1f} s after the end")


@checks.register("draining workers get no work")
def check_draining(history: History, final: bool) -> Iterator[Finding]:
    """Find work that was sent to a worker long after it began to drain."""
    for name, since in list(history.seen.draining.items()):
        for run in list(history.workers[name].runs):
            late = run.started > since + DRAIN_S
            if late and not _hindered(history, since, run.started):
                after = run.started - since
                detail = f"{after:.1f} s after {name} began to drain"
                yield Finding(Fault.LATE_RUN, run.request_id, detail)


def _hindered(history: History, begin: float, end: float) -> bool:
    # A node that was frozen or could not read the store did not know better.
    kinds = (WindowKind.PROCESS, WindowKind.STORE)
    return history.seen.disturbed(begin - STABLE_S, end, *kinds)


@checks.register("orders of one holder")
def check_orders(history: History, final: bool) -> Iterator[Finding]:
    """Find fencing numbers of two holders, and holders that take turns too soon."""
    for worker in list(history.workers.values()):
        if not worker.name.startswith(ENGINES):
            continue
        orders = sorted(worker.orders, key=lambda order: order.at)
        for earlier, later in itertools.pairwise(orders):
            if earlier.holder == later.holder:
                continue
            gap = later.at - earlier.at
            if earlier.fence == later.fence:
                yield Finding(Fault.ORDER_CONFLICT, worker.name, "two holders, a fence")
            elif gap < history.lease_s and not _thawed(history, later.at):
                detail = f"{later.holder} {gap:.2f} s after {earlier.holder}"
                yield Finding(Fault.ORDER_CONFLICT, worker.name, detail)


def _thawed(history: History, at: float) -> bool:
    return any(
        window.kind is WindowKind.PROCESS and window.end <= at <= window.end + THAW_S
        for window in list(history.seen.windows)
    )
