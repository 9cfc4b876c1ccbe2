"""Run a simulated weight store with a rate limit."""

import time

import defopt
import msgspec
from aiohttp import web

from .history import History
from .serving import RateLimit, add_control, serve, sleep_if_positive

MAX_BODY_BYTES = 64 * 1024 * 1024


class StoreFaults(msgspec.Struct):
    """Hold the limits and faults of the store; 0 disables one."""

    requests_per_s: float = 50.0
    bytes_per_s: float = 0.0
    outage: bool = False


class WeightStore:
    """Store weights by model and version."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.weights: dict[str, bytes] = {}
        self.rate = RateLimit(time.monotonic)

    def apply_limits(self) -> web.Response | None:
        """Apply outage and rate limit; return the error response if one applies."""
        if self.faults.outage:
            return web.Response(status=503)
        if not self.rate.allow(self.faults.requests_per_s):
            return web.Response(status=429)
        return None

    async def transfer(self, size: int) -> None:
        """Sleep for the duration of a transfer at the configured bandwidth."""
        if self.faults.bytes_per_s > 0:
            await sleep_if_positive(size / self.faults.bytes_per_s)

    async def put(self, request: web.Request) -> web.Response:
        """Store the weights of one version."""
        data = await request.read()
        if (refusal := self.apply_limits()) is not None:
            return refusal
        await self.transfer(len(data))
        self.weights[request.path] = data
        return web.Response(status=204)

    async def get(self, request: web.Request) -> web.Response:
        """Return the weights of one version."""
        if (refusal := self.apply_limits()) is not None:
            return refusal
        data = self.weights.get(request.path)
        if data is None:
            return web.Response(status=404)
        await self.transfer(len(data))
        return web.Response(body=data)


def application() -> web.Application:
    """Build the application of a weight store."""
    store = WeightStore()
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app.router.add_get("/weights/{model}/{version}", store.get)
    app.router.add_put("/weights/{model}/{version}", store.put)
    add_control(app, store, History())
    return app


def main(*, port: int) -> None:
    """Run a weight store."""
    serve(application(), port)


if __name__ == "__main__":
    defopt.run(main)
