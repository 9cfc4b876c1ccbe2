"""Change the keys of client accounts, and check who runs under which account."""

from collections.abc import Iterator

from .findings import Fault, Finding
from .platform_changes import APPLY_BOUND_S, is_excused
from .platform_checks import CheckContext, checks
from .platform_documents import reward_id
from .platform_faults import FaultContext, platform_faults
from .platform_history import WindowKind

KEYS_CHANGED = "keys_changed"
# The platform's bound on how late a request with a removed key may run.
REVOKE_MS = 5000.0


@platform_faults.register(KEYS_CHANGED)
def change_keys(context: FaultContext) -> None:
    """Remove a key of an account, bring one back or add one, at a random time."""
    context.sleep_fault_duration()
    context.system.change_keys(context.random)


@checks.register("removed keys run nothing")
def check_removed_keys(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that ran although their key was removed long before.

    No fault excuses it: a node that may have missed the removal has to refuse.
    """
    for request in list(context.history.requests.values()):
        ran = request.status == 200 or context.runs.get(request.request_id)
        if request.key is None or not request.ended or not ran:
            continue
        for removed in list(context.history.removed_keys):
            after = request.began - removed.removed_at
            if (
                removed.key == request.key
                and after > REVOKE_MS / 1000
                and request.ended < removed.restored_at
            ):
                detail = (
                    f"ran at {request.node} {after:.1f} s after its key was removed"
                )
                yield Finding(Fault.LATE_RUN, request.request_id, detail)


@checks.register("added keys are served")
def check_added_keys(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find requests that a node answered 401 long after their key was added."""
    for request in list(context.history.requests.values()):
        if request.status != 401 or request.key is None:
            continue
        # The other keys were there from the start.
        added_at = context.history.added_keys.get(request.key)
        removed = any(
            each.key == request.key and each.restored_at > (added_at or 0.0)
            for each in list(context.history.removed_keys)
        )
        late = added_at is None or request.began > added_at + APPLY_BOUND_S
        if late and not removed:
            begin = request.began if added_at is None else added_at
            if not is_excused(context, request, begin, WindowKind.STORE):
                detail = f"401 from {request.node} with a key in force"
                yield Finding(Fault.STALE, request.request_id, detail)


@checks.register("workers see accounts and no keys")
def check_accounts(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find runs with credentials, or with another account than the client's."""
    expected: dict[str, str | None] = {
        request.request_id: request.account
        for request in list(context.history.requests.values())
        if request.account is not None
    }
    for step in list(context.history.steps.values()):
        if step.account is not None:
            for item in context.item_ids(step):
                expected[item] = step.account
                # Reward calls belong to no account.
                expected[reward_id(item)] = None
    for request_id, runs in list(context.runs.items()):
        for run in runs:
            if run.credentials is not None:
                detail = f"{run.worker} saw credentials"
                yield Finding(Fault.LEAKED_KEY, request_id, detail)
            wanted = expected.get(request_id, run.account)
            if run.account != wanted:
                detail = f"{run.worker} saw {run.account} instead of {wanted}"
                yield Finding(Fault.MISLABELLED, request_id, detail)
