"""Check whether responses of workers are valid and belong to their requests."""

import aiohttp

from fulmarpulley_core.pool.messages import Failure

from ..rollout.interfaces import UpstreamCallFailure
from .connections import close_connection
from .headers import parse_int

MISDIRECTED = 421


def belongs_to(response: aiohttp.ClientResponse, request_id: str) -> bool:
    """Tell whether a response is that to a request.

    A late copy of the response to an earlier request on the connection has its id.
    """
    return response.headers.get("Request-Id", "") == request_id


def check_control_response(response: aiohttp.ClientResponse) -> None:
    """Raise ValueError for a late copy of the response to a caller's request.

    Reports and orders have no request id, so that their responses have none.
    """
    if "Request-Id" in response.headers:
        close_connection(response)
        raise ValueError("the response belongs to another request")


def check_response(
    response: aiohttp.ClientResponse, request_id: str
) -> UpstreamCallFailure | None:
    """Return why a response is invalid or says that the request was not run."""
    status = response.status
    # A response to another request says nothing about this one, which may have run.
    if not belongs_to(response, request_id):
        # The response to this request is still to come.
        close_connection(response)
        return UpstreamCallFailure(
            Failure.BROKEN, "the response belongs to another request"
        )
    if "Not-Executed" in response.headers or status == MISDIRECTED:
        return UpstreamCallFailure(
            Failure.REFUSED, f"request not run, status {status}", status
        )
    signature = response.headers.get("Server-Stamp")
    if 200 <= status < 300 and signature is None:
        return UpstreamCallFailure(Failure.BROKEN, "the response is not signed")
    if signature is not None and not signature.isascii():
        # It could be passed on neither in a header nor in a record.
        return UpstreamCallFailure(Failure.BROKEN, "the signature is not text")
    if not _has_length(response):
        # The end of such a body is the end of the connection, and the client library
        # does not report whether that was closed or reset.
        return UpstreamCallFailure(Failure.BROKEN, "the response has no length")
    return None


def _has_length(response: aiohttp.ClientResponse) -> bool:
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    bodiless = response.method == "HEAD" or response.status in (204, 304)
    return chunked or bodiless or "Content-Length" in response.headers


def check_stream(
    response: aiohttp.ClientResponse, version: int
) -> UpstreamCallFailure | None:
    """Return why a response is not a stream of a version or a newer one."""
    status = response.status
    if status != 200:
        return UpstreamCallFailure(Failure.ERRORED, f"status {status}", status)
    served = parse_int(response.headers.get("Weight-Versions"))
    if served is None:
        return UpstreamCallFailure(Failure.BROKEN, "the response has no weight version")
    if served < version:
        reason = f"the engine serves version {served}, older than {version}"
        return UpstreamCallFailure(Failure.REFUSED, reason, status, served)
    return None
