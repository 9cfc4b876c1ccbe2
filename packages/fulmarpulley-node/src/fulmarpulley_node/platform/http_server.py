"""Serve HTTP without repeating the content of invalid requests in logs."""

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web_protocol import RequestHandler

from ..observe.events import log_event


class Server(web.Server):
    """Handle connections with a request handler that hides invalid requests."""

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return QuietRequestHandler(self, loop=self._loop, **self._kwargs)


class QuietRequestHandler(RequestHandler):
    """Log the kind of an invalid request only.

    The library logs, and returns to the client, header lines that it cannot parse,
    which may hold a key.
    """

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that cannot be handled."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        log_event("request_unreadable", error=type(exc).__name__)
        if request.writer.output_size > 0:
            raise ConnectionError("the response has been sent in part")
        response = web.Response(status=status, text="the request is not valid HTTP")
        response.force_close()
        return response
