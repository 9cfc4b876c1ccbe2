"""Serve health and metrics over HTTP."""

from aiohttp import web

from .errors import ErrorCode, error
from .gate import Gate
from .observe.metrics import Metrics
from .web import json_response


class HealthApi:
    """Tell the balancer and the monitoring about this node."""

    def __init__(self, gate: Gate, metrics: Metrics) -> None:
        self.gate = gate
        self.metrics = metrics

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the routes of health and metrics."""
        router.add_get("/ready", self.ready)
        router.add_get("/live", self.live)
        router.add_get("/metrics", self.page)

    async def ready(self, _request: web.Request) -> web.Response:
        """Answer 200 when the node is ready, else 503."""
        self.metrics.ready.set({}, int(self.gate.ready))
        if self.gate.leaving:
            raise error(ErrorCode.SHUTTING_DOWN, "the node is shutting down")
        if not self.gate.ready:
            message = "the node does not know all documents yet"
            raise error(ErrorCode.NOT_READY, message)
        return json_response({})

    async def live(self, _request: web.Request) -> web.Response:
        """Answer 200 while the process works."""
        return json_response({})

    async def page(self, request: web.Request) -> web.Response:
        """Answer with the metrics."""
        body, headers = self.metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)
