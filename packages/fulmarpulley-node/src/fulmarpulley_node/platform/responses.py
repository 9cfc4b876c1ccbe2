"""Build the responses that a node gives by itself."""

import msgspec
from aiohttp import web

from fulmarpulley_schema.generated.http import Ran

from ..rollout.forwarder import Refusal
from ..rollout.step_frontend import StepOutcome

# Clients retry after this time, and the retry reaches another node.
RETRY_AFTER_S = 0.2


def json_response(message: msgspec.Struct) -> web.Response:
    """Return a message as JSON."""
    body = msgspec.json.encode(message)
    return web.Response(body=body, content_type="application/json")


def error_response(status: int, reason: str) -> web.Response:
    """Return an error with its reason."""
    return web.Response(status=status, text=reason)


def unavailable_response(
    reason: str, retry_after_s: float | None = None
) -> web.Response:
    """Refuse a request that has not run, which may be sent again after a while."""
    response = error_response(503, reason)
    wait_s = RETRY_AFTER_S if retry_after_s is None else retry_after_s
    response.headers["Retry-After"] = f"{wait_s:.3f}"
    return response


def stopping_response() -> web.Response:
    """Refuse a request that would not end before the node stops."""
    return unavailable_response("the node is about to stop")


def refusal_response(refusal: Refusal) -> web.Response:
    """Return why a request got no response of a worker."""
    reason = f"the request was refused: {refusal.code}"
    if refusal.ran is Ran.NOT_RUN:
        return unavailable_response(reason, refusal.retry_after_s)
    return error_response(504 if refusal.code == "deadline_passed" else 502, reason)


def step_error_response(outcome: StepOutcome) -> web.Response:
    """Return why a call about a step was not done."""
    if outcome is StepOutcome.NOT_FOUND:
        return error_response(404, "there is no such step or item")
    if outcome is StepOutcome.REFUSED:
        return unavailable_response("the log cannot be reached; nothing was done")
    return error_response(504, "the log did not answer in time")
