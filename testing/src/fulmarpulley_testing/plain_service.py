"""Run a simulated plain service whose calls must not be repeated."""

import defopt
import msgspec
from aiohttp import web

from fulmarpulley_schema.generated.upstream import PlainCall, PlainResult

from .history import CallExecuted, History
from .serving import (
    abort_connection,
    add_control,
    decode_body,
    json_response,
    serve,
    sleep_if_positive,
)
from .tokens import plain_result


class PlainFaults(msgspec.Struct):
    """Hold the faults of a plain service; counts apply to the next calls."""

    delay_s: float = 0.0
    lose_answers: int = 0
    refusals: int = 0
    errors: int = 0


class PlainService:
    """Execute calls and record each execution."""

    def __init__(self, name: str, history: History) -> None:
        self.name = name
        self.history = history
        self.faults = PlainFaults()

    async def call(self, request: web.Request) -> web.Response:
        """Execute a call; answer 503 if it was refused without execution."""
        call = await decode_body(request, PlainCall)
        if self.faults.refusals > 0:
            self.faults.refusals -= 1
            return web.Response(status=503)
        executed = CallExecuted(upstream=self.name, key=call.key, body=call.body)
        self.history.add(executed)
        await sleep_if_positive(self.faults.delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return abort_connection(request)
        if self.faults.errors > 0:
            self.faults.errors -= 1
            return web.Response(status=500)
        return json_response(PlainResult(result=plain_result(call.body)))


def application(name: str, history: History, delay_s: float) -> web.Application:
    """Build the application of a plain service."""
    service = PlainService(name, history)
    service.faults.delay_s = delay_s
    app = web.Application()
    app.router.add_post("/v1/call", service.call)
    add_control(app, service, history)
    return app


def main(
    *, port: int, name: str = "plain", history: str = "", delay_s: float = 0.02
) -> None:
    """Run a plain service."""
    serve(application(name, History(history), delay_s), port)


if __name__ == "__main__":
    defopt.run(main)
