"""Open connections to workers that carry no request twice.

A second copy of a response may arrive late, where the next response on its connection
is expected. It is told apart by the id of its request, which is the same for all sends
of one request: a copy of a refusal would be taken for the response to the next send.
"""

from collections import deque
from collections.abc import Sequence
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any, NamedTuple

from aiohttp import ClientRequest, ClientTimeout, connector

from .connections import BoundedResponseConnector, BoundedResponseHandler

if TYPE_CHECKING:
    from aiohttp.client_reqrep import ConnectionKey
    from aiohttp.tracing import Trace

# Requests that a connection remembers; a copy comes with the next response.
MAX_REMEMBERED_REQUESTS = 16


class Identity(NamedTuple):
    """Hold what the responses to a request are told apart by.

    Reports and orders have no id, and none in their responses.
    """

    request_id: str
    call: str


_requested: ContextVar[Identity] = ContextVar("requested")


class RememberingHandler(BoundedResponseHandler):
    """Remember the last requests that a connection carried."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.requests: deque[Identity] = deque(maxlen=MAX_REMEMBERED_REQUESTS)

    def may_hold_copy(self, request: Identity) -> bool:
        """Tell whether a copy that is still to come has the identity of a request."""
        if request.request_id:
            return any(r.request_id == request.request_id for r in self.requests)
        # With a longer memory, each of these calls would need a new connection.
        return bool(self.requests) and self.requests[-1] == request


class DistinctRequestConnector(BoundedResponseConnector):
    """Choose for each request a connection that has not carried it before.

    The library has no public option for this, so private methods are used;
    test_foreign_answers fails if that stops working.
    """

    handler = RememberingHandler

    async def connect(
        self, req: ClientRequest, traces: "list[Trace]", timeout: ClientTimeout
    ) -> connector.Connection:
        """Return a connection for a request."""
        request = _identity(req)
        token = _requested.set(request)
        try:
            connection = await super().connect(req, traces, timeout)
        finally:
            _requested.reset(token)
        if isinstance(connection.protocol, RememberingHandler):
            connection.protocol.requests.append(request)
        return connection

    async def _get(
        self, key: "ConnectionKey", traces: "Sequence[Trace]"
    ) -> connector.Connection | None:
        request = _requested.get()
        idle = self._conns.get(key, deque())
        used = [entry for entry in idle if _may_hold_copy(entry[0], request)]
        for entry in used:
            idle.remove(entry)
        try:
            return await super()._get(key, list(traces))
        finally:
            if used:
                self._conns[key].extendleft(reversed(used))


def _may_hold_copy(handler: object, request: Identity) -> bool:
    return isinstance(handler, RememberingHandler) and handler.may_hold_copy(request)


def _identity(request: ClientRequest) -> Identity:
    call = f"{request.method} {request.url.path}"
    return Identity(request.headers.get("Request-Id", ""), call)
