"""Run the HTTP server of the node."""

from collections.abc import Sequence
from typing import Protocol

from aiohttp import web
from aiomisc import Service

from fulmarpulley_schema.generated.settings import NodeSettings

from .web import MAX_BODY_BYTES, error_middleware

# Cancel the handler of a request when its client disconnects.
HANDLER_CANCELLATION = True


class HttpApi(Protocol):
    """Define the HTTP routes for one kind of client."""

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes with the router."""


class HttpServer(Service):
    """Own the listening socket and its connections."""

    def __init__(self, settings: NodeSettings, apis: Sequence[HttpApi]) -> None:
        super().__init__()
        self.settings = settings
        self.apis = apis
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Bind the socket and start serving."""
        app = web.Application(
            middlewares=[error_middleware], client_max_size=MAX_BODY_BYTES
        )
        for api in self.apis:
            api.add_routes(app.router)
        self.runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=HANDLER_CANCELLATION,
            shutdown_timeout=1.0,
        )
        await self.runner.setup()
        listen = self.settings.http
        await web.TCPSite(self.runner, listen.host, listen.port).start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all connections."""
        if self.runner is not None:
            await self.runner.cleanup()
