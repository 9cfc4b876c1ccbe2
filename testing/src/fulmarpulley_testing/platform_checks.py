"""Check guarantees of the nodes against what clients and workers observed."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any

from fulmarpulley_core.registry import Registry

from .findings import Fault, Finding
from .platform_documents import ENGINES, reward_id
from .platform_history import PlatformHistory, RequestSeen, StepSeen, WindowKind
from .platform_worker import PlatformWorker, Run, server_stamp

if TYPE_CHECKING:
    from .platform_duties import SoakDuties

# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# The platform's limits on how long items of an ended step and requests to a draining
# worker may still start.
CANCELLATION_BOUND_S = 3.0
DRAIN_BOUND_S = 2.5
# A fault may still have an effect for this time after its end.
FAULT_AFTEREFFECT_S = 3.0
# A node may still send an order that it had begun before it was suspended: holders may
# change sooner than a lease within this time after a fault of a process.
RESUME_GRACE_S = 0.3

Check = Callable[["CheckContext", bool], Iterator[Finding]]
checks: Registry[Check] = Registry("check on the platform")


class CheckContext:
    """Hold what the checks read: the clients' history and the workers' runs."""

    def __init__(
        self,
        history: PlatformHistory,
        workers: Mapping[str, PlatformWorker],
        lease_s: float,
        nodes: int = 0,
        duties: "SoakDuties | None" = None,
    ) -> None:
        self.history = history
        self.duties = duties
        self.workers = workers
        self.lease_s = lease_s
        self.nodes = nodes
        self.runs: dict[str, list[Run]] = defaultdict(list)
        for worker in list(workers.values()):
            for run in list(worker.runs):
                self.runs[run.request_id].append(run)

    def item_ids(self, step: StepSeen) -> Iterator[str]:
        """Yield the ids of the items of a step."""
        return (f"{step.step_id}-{number}" for number in range(step.items))


def check_all(context: CheckContext, final: bool) -> list[Finding]:
    """Run all checks; `final` adds those that hold only once traffic has ended."""
    return [finding for name in checks for finding in checks.get(name)(context, final)]


@checks.register("refusals are true")
def check_refusals(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find work that ran although its refusal guarantees that it did not."""
    for request in list(context.history.requests.values()):
        refused_as_not_run = (
            request.status in NOT_RUN_STATUSES and not request.repeatable
        )
        if refused_as_not_run and context.runs.get(request.request_id):
            detail = f"answered {request.status} and ran"
            yield Finding(Fault.FALSE_NOT_RUN, request.request_id, detail)
    for step in list(context.history.steps.values()):
        if step.accepted_at is None and step.refused:
            items = list(context.item_ids(step))
            reward_ids = [reward_id(item) for item in items]
            ran = [name for name in items + reward_ids if context.runs.get(name)]
            if ran:
                yield Finding(Fault.FALSE_NOT_RUN, step.step_id, f"items ran: {ran}")


@checks.register("requests run once")
def check_repeated(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that ran more than once but must not be repeated."""
    for request in list(context.history.requests.values()):
        runs = context.runs.get(request.request_id, [])
        if not request.repeatable and len(runs) > 1:
            where = ", ".join(run.worker for run in runs)
            yield Finding(Fault.REPEATED_RUN, request.request_id, f"ran at {where}")


@checks.register("answers are whole")
def check_answers(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find answers that are truncated or belong to another request."""
    for request in list(context.history.requests.values()):
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
def check_forwarded(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find runs that no client requested, or with a changed method, path or body."""
    steps = list(context.history.steps.values())
    items = {item for step in steps for item in context.item_ids(step)}
    reward_ids = {
        reward_id(item) for s in steps if s.rewards for item in context.item_ids(s)
    }
    for request_id, runs in list(context.runs.items()):
        request = context.history.requests.get(request_id)
        if request is None:
            if request_id not in items | reward_ids:
                yield Finding(Fault.FOREIGN_ANSWER, request_id, "no client sent it")
            continue
        for run in runs:
            if (run.method, run.path, run.body) != ("POST", request.path, request.body):
                yield Finding(Fault.FOREIGN_ANSWER, request_id, f"ran as {run.path}")


@checks.register("graceful stops cut nothing")
def check_stops(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that a graceful stop broke off while an upstream ran them."""
    for request in list(context.history.requests.values()):
        if request.status == 0 and request.ended and _was_cut_by_stop(context, request):
            yield Finding(Fault.CUT_ANSWER, request.request_id, f"at {request.node}")
    for failed_exit in context.history.nonzero_exits:
        yield Finding(Fault.CUT_ANSWER, failed_exit, "graceful stop failed")


def _was_cut_by_stop(context: CheckContext, request: RequestSeen) -> bool:
    history = context.history
    begin, end = request.began - FAULT_AFTEREFFECT_S, request.ended
    unplanned = (WindowKind.PROCESS, WindowKind.UPSTREAM, WindowKind.STORE)
    stopped = any(
        w.kind is WindowKind.STOP
        and w.subject == request.node
        and w.overlaps(request.began, end)
        for w in list(history.windows)
    )
    ran = bool(context.runs.get(request.request_id))
    return stopped and ran and not history.fault_active(begin, end, *unplanned)


@checks.register("results are kept")
def check_retained(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find accepted steps that are unknown later or never complete."""
    for step in list(context.history.steps.values()):
        if step.accepted_at is None:
            continue
        if step.missing_at:
            yield Finding(Fault.LOST_SLOT, step.step_id, "unknown after acceptance")
        if final and step.ended_at is None and not step.complete:
            detail = f"{len(step.results)} of {step.items} results"
            yield Finding(Fault.LOST_SLOT, step.step_id, detail)


@checks.register("results do not change")
def check_positions(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find results that changed, occur twice or belong to another step."""
    for step in list(context.history.steps.values()):
        for position in step.changed:
            yield Finding(Fault.FOREIGN_SAMPLE, step.step_id, f"{position} changed")
        ids = [result["Id"] for result in list(step.results.values())]
        for item in sorted({item for item in ids if ids.count(item) > 1}):
            yield Finding(Fault.DOUBLED_SLOT, item, "listed at two positions")
        for item in sorted(set(ids) - set(context.item_ids(step))):
            yield Finding(
                Fault.FOREIGN_SAMPLE, item, f"is not an item of {step.step_id}"
            )


@checks.register("results are whole and labelled")
def check_results(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find results whose text or versions differ from what the workers produced."""
    for step in list(context.history.steps.values()):
        for result in list(step.results.values()):
            yield from _check_result(context, step, result)


def _check_result(
    context: CheckContext, step: StepSeen, result: Any
) -> Iterator[Finding]:
    item = result["Id"]
    if result["State"] != "completed":
        yield Finding(Fault.LOST_SLOT, item, f"ended as {result['State']}")
        return
    runs = context.runs.get(item, [])
    events = max((run.resume_after + run.events for run in runs), default=0)
    text = "\n".join(f"{item}:{number}" for number in range(1, events + 1))
    if result["Text"] != text:
        yield Finding(Fault.CUT_SAMPLE, item, f"text of {len(result['Text'])} bytes")
    versions = set(result["Versions"])
    generated = {version for run in runs for version in run.versions}
    if (
        not versions
        or not versions <= generated
        or (len(runs) == 1 and versions != generated)
    ):
        yield Finding(Fault.MISLABELLED, item, f"{versions} instead of {generated}")
    if min(versions, default=step.min_version) < step.min_version:
        yield Finding(Fault.STALE, item, f"{versions} below {step.min_version}")


@checks.register("scores are earned")
def check_scores(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find scores that no reward call made after the item's last event returned."""
    for step in list(context.history.steps.values()):
        for result in list(step.results.values()):
            item, score = result["Id"], result.get("Score")
            if not step.rewards:
                if score is not None:
                    yield Finding(Fault.MISLABELLED, item, f"has a score: {score}")
                continue
            if result["State"] == "completed" and not _has_matching_reward_run(
                context, item, score
            ):
                yield Finding(Fault.MISLABELLED, item, f"has wrong score {score}")


def _has_matching_reward_run(
    context: CheckContext, item: str, score: str | None
) -> bool:
    whole = [run.last_event for run in context.runs.get(item, []) if run.complete]
    earliest = min(whole, default=float("inf"))
    call = reward_id(item)
    return any(
        run.complete
        and server_stamp(run.worker, call) == score
        and run.started >= earliest
        for run in context.runs.get(call, [])
    )


@checks.register("ended steps do not run")
def check_ended(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find items that started long after the end of their step was acknowledged."""
    for step in list(context.history.steps.values()):
        if step.ended_at is None:
            continue
        deadline = step.ended_at + CANCELLATION_BOUND_S
        items = list(context.item_ids(step))
        for item in items + [reward_id(item) for item in items]:
            late = [run for run in context.runs.get(item, []) if run.started > deadline]
            if late and not _may_be_due_to_fault(
                context, step.ended_at, late[0].started
            ):
                after = late[0].started - step.ended_at
                yield Finding(Fault.LATE_RUN, item, f"{after:.1f} s after the end")


@checks.register("draining workers get no work")
def check_draining(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find work that a worker got long after it began to drain."""
    for name, since in list(context.history.draining.items()):
        for run in list(context.workers[name].runs):
            late = run.started > since + DRAIN_BOUND_S
            if late and not _may_be_due_to_fault(context, since, run.started):
                after = run.started - since
                detail = f"{after:.1f} s after {name} began to drain"
                yield Finding(Fault.LATE_RUN, run.request_id, detail)


def _may_be_due_to_fault(context: CheckContext, begin: float, end: float) -> bool:
    # A node suspended or cut off from the store could not have read the change.
    kinds = (WindowKind.PROCESS, WindowKind.STORE)
    return context.history.fault_active(begin - FAULT_AFTEREFFECT_S, end, *kinds)


@checks.register("orders of one holder")
def check_orders(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find fencing tokens used by two holders, and holders that change too soon."""
    for worker in list(context.workers.values()):
        if not worker.name.startswith(ENGINES):
            continue
        orders = sorted(worker.orders, key=lambda order: order.at)
        for earlier, later in itertools.pairwise(orders):
            if earlier.holder == later.holder:
                continue
            gap = later.at - earlier.at
            if earlier.fence == later.fence:
                yield Finding(Fault.ORDER_CONFLICT, worker.name, "one fence, 2 holders")
            elif gap < context.lease_s and not has_just_resumed(context, later.at):
                detail = f"{later.holder} {gap:.2f} s after {earlier.holder}"
                yield Finding(Fault.ORDER_CONFLICT, worker.name, detail)


def has_just_resumed(context: CheckContext, at: float) -> bool:
    """Tell whether a fault of a process ended right before a time."""
    return any(
        window.kind is WindowKind.PROCESS
        and window.end <= at <= window.end + RESUME_GRACE_S
        for window in list(context.history.windows)
    )
