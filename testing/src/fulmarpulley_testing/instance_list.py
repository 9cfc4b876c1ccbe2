"""Run a simulated instance list that shows changes after a lag."""

import time
from pathlib import Path

import defopt
import msgspec
from aiohttp import web

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.upstream import InstanceList

from .history import History
from .serving import add_control, decode_body, json_response, serve, sleep_if_positive


class ListFaults(msgspec.Struct):
    """Hold the lag and the faults of the instance list."""

    lag_s: float = 1.0
    outage: bool = False
    delay_s: float = 0.0


class InstanceListService:
    """Serve the instance list as it was lag_s ago."""

    def __init__(self, instances: InstanceList, lag_s: float) -> None:
        self.faults = ListFaults(lag_s=lag_s)
        self.snapshots = [(float("-inf"), instances)]

    async def read(self, _request: web.Request) -> web.Response:
        """Return the latest list that is at least as old as the lag."""
        await sleep_if_positive(self.faults.delay_s)
        if self.faults.outage:
            return web.Response(status=503)
        visible_until = time.monotonic() - self.faults.lag_s
        visible = [
            snapshot for changed, snapshot in self.snapshots if changed <= visible_until
        ]
        return json_response(visible[-1])

    async def write(self, request: web.Request) -> web.Response:
        """Replace the list; readers get the new one after the lag."""
        instances = await decode_body(request, InstanceList)
        self.snapshots.append((time.monotonic(), instances))
        return json_response({})


def application(instances: InstanceList, lag_s: float) -> web.Application:
    """Build the application of an instance list."""
    service = InstanceListService(instances, lag_s)
    app = web.Application()
    app.router.add_get("/instances", service.read)
    app.router.add_put("/control/instances", service.write)
    add_control(app, service, History())
    return app


def main(*, port: int, file: str = "", lag_s: float = 1.0) -> None:
    """Run an instance list with the initial content of a file."""
    instances = InstanceList(instances=[])
    if file:
        instances = codec.from_json(Path(file).read_bytes(), InstanceList)
    serve(application(instances, lag_s), port)


if __name__ == "__main__":
    defopt.run(main)
