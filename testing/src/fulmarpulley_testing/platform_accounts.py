"""Check what workers see of client accounts and their keys."""

from collections.abc import Iterator

from .findings import Fault, Finding
from .platform_checks import CheckContext, checks
from .platform_documents import reward_id


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
