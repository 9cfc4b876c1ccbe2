"""Serve the HTTP endpoints for health checks and metrics."""

from aiohttp import web

from .errors import ErrorCode, error
from .gate import Gate
from .observe.metrics import Metrics
from .web import json_response


class HealthApi:
    """Report readiness to the load balancer and metrics to the monitoring system."""

    def __init__(self, gate: Gate, metrics: Metrics) -> None:
        self.gate = gate
        self.metrics = metrics

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the health and metrics routes."""
        router.add_get("/ready", self.ready)
        router.add_get("/live", self.live)
        router.add_get("/metrics", self.page)

    async def ready(self, _request: web.Request) -> web.Response:
        """Return 200 if the node is ready, otherwise 503."""
        self.metrics.ready.set({}, int(self.gate.ready))
        if self.gate.leaving:
            raise error(ErrorCode.SHUTTING_DOWN, "the node is shutting down")
        if not self.gate.ready:
            message = "the node has not loaded all documents yet"
            raise error(ErrorCode.NOT_READY, message)
        return json_response({})

    async def live(self, _request: web.Request) -> web.Response:
        """Return 200 while the process is running."""
        return json_response({})

    async def page(self, request: web.Request) -> web.Response:
        """Return the metrics in a format from the Accept header."""
        body, headers = self.metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)
