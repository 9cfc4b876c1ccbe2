"""Serve the calls of trainers about their steps."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from aiohttp import web
from result import Err

from fulmarpulley_core.ids import AccountName, ItemId, StepId
from fulmarpulley_core.registry import Registry

from ..rollout.step_frontend import StepOutcome
from .headers import parse_int
from .responses import error_response, json_response, step_error_response
from .step_messages import to_reply

if TYPE_CHECKING:
    from .ingress import Ingress

MAX_RESULT_WAIT_S = 1.0
# Trainers' calls other than submissions are begun as long as this time is left; apart
# from the wait for a result, few take longer.
STEP_CALL_S = 0.4
STEPS_PATH = "/-/lots/"
ITEMS_PATH = "/-/items/"

# The account of the client is empty for an anonymous one, and None without accounts.
StepHandler = Callable[
    ["Ingress", web.BaseRequest, StepId, AccountName | None], Awaitable[web.Response]
]
step_handlers: Registry[StepHandler] = Registry("step request handler")


@step_handlers.register(f"GET {STEPS_PATH}")
async def read_results(
    ingress: "Ingress",
    request: web.BaseRequest,
    step_id: StepId,
    account: AccountName | None,
) -> web.Response:
    """Return the results of a step from a position on."""
    after = parse_int(request.query.get("After", "0"))
    if after is None:
        return error_response(400, "After must be a whole number")
    wait_ms = parse_int(request.headers.get("Wait-Ms")) or 0
    longest_s = max(0.0, ingress.remaining_s() - STEP_CALL_S)
    wait_s = min(MAX_RESULT_WAIT_S, wait_ms / 1000, longest_s)
    result = await ingress.steps.results(request.host, step_id, after, wait_s, account)
    if isinstance(result, Err):
        return step_error_response(result.err_value)
    return json_response(to_reply(result.ok_value))


@step_handlers.register(f"DELETE {STEPS_PATH}")
async def end_step(
    ingress: "Ingress",
    request: web.BaseRequest,
    step_id: StepId,
    account: AccountName | None,
) -> web.Response:
    """End a step."""
    outcome = await ingress.steps.end(request.host, step_id, account)
    if outcome is StepOutcome.DONE:
        return web.Response(status=200)
    return step_error_response(outcome)


@step_handlers.register(f"GET {ITEMS_PATH}")
async def read_body(
    ingress: "Ingress",
    request: web.BaseRequest,
    step_id: StepId,
    account: AccountName | None,
) -> web.Response:
    """Return the body of an item whose result is not listed yet."""
    item_id = ItemId(request.query.get("Id", ""))
    result = await ingress.steps.body(request.host, step_id, item_id, account)
    if isinstance(result, Err):
        return step_error_response(result.err_value)
    return web.Response(body=result.ok_value)
