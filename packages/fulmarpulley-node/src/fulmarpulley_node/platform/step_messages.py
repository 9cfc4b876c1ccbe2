"""Convert trainers' submissions and the results of their steps."""

from fulmarpulley_core.ids import AccountName
from fulmarpulley_schema.generated.steps import (
    ItemResult,
    ItemSpec,
    RewardCall,
    StepAccepted,
)

from ..rollout.clock import unix_ms
from ..rollout.step_frontend import ResultPage
from . import wire
from .headers import parse_int, without_identity


def to_step(
    submission: wire.Submission,
    step_id: str,
    host: str,
    path: str,
    config_version: int,
    account: AccountName | None = None,
) -> StepAccepted:
    """Convert a submission; raise ValueError for missing or duplicate ids.

    :param config_version: version of the configuration that has the step's route
    :param account: client account that submits the step, empty for an anonymous one;
        None if the deployment has no accounts
    """
    if not step_id or not step_id.isascii():
        raise ValueError("the submission has no valid Request-Id")
    if len({item.item_id for item in submission.items}) < len(submission.items):
        raise ValueError("two items have the same Id")
    return StepAccepted(
        step_id=step_id,
        host=host.partition(":")[0],
        path=path,
        submitted_ms=unix_ms(),
        number=submission.number,
        model=submission.model or _find_model(submission),
        min_version=submission.min_version,
        target_groups=submission.target_groups,
        config_version=config_version,
        account=account or "",
        items=[_to_item(item, account is not None) for item in submission.items],
    )


def to_reply(page: ResultPage) -> wire.ResultsReply:
    """Convert a page of results to its wire message."""
    results = [_to_result_entry(result) for result in page.results]
    return wire.ResultsReply(page.total, page.next_position, results)


def _to_result_entry(result: ItemResult) -> wire.ResultEntry:
    return wire.ResultEntry(
        item_id=result.item_id,
        state=result.state.value,
        text=result.text.decode(errors="replace"),
        versions=result.versions or None,
        score=result.score or None,
    )


def _to_item(item: wire.ItemEntry, has_accounts: bool) -> ItemSpec:
    # Keys among the headers of an item must not get onto the log.
    kept = dict(without_identity(item.headers)) if has_accounts else item.headers
    headers = {name.lower(): value for name, value in item.headers.items()}
    prompt, _, output = headers.get("token-counts", "").partition(",")
    prompt_tokens = parse_int(prompt) or 0
    parts = headers.get("prompt-prefix", "").split(",")
    return ItemSpec(
        item_id=item.item_id,
        path=item.path,
        headers=kept,
        body=item.body,
        prompt_tokens=prompt_tokens,
        max_tokens=parse_int(output) or max(0, item.tokens - prompt_tokens),
        length_hint=parse_int(headers.get("length-hint")) or 0,
        prefix=parts[0].partition(":")[0],
        group=item.group,
        reward=None if item.reward is None else _to_reward(item.reward),
    )


def _to_reward(entry: wire.RewardEntry) -> RewardCall:
    if not entry.request_id:
        raise ValueError("a scoring endpoint has no Id")
    return RewardCall(
        request_id=entry.request_id,
        host=entry.host.partition(":")[0],
        path=entry.path,
        body=entry.body,
    )


def _find_model(submission: wire.Submission) -> str:
    for item in submission.items:
        for name, value in item.headers.items():
            if name.lower() == "model":
                return value
    return ""
