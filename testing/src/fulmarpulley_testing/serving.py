"""Provide HTTP serving, fault control and rate limits for the stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

import msgspec
import uvloop
from aiohttp import web

from fulmarpulley_schema import codec

from .history import History

T = TypeVar("T", bound=msgspec.Struct)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

LOOPBACK = "127.0.0.1"


class HasFaults(Protocol):
    """Describe a stand-in whose faults a test may set."""

    faults: Any


def serve(app: web.Application, port: int) -> None:
    """Run an application on a loopback port until SIGTERM or SIGINT."""
    web.run_app(
        app,
        host=LOOPBACK,
        port=port,
        print=None,
        access_log=None,
        shutdown_timeout=0.1,
        loop=uvloop.new_event_loop(),
    )


def json_response(message: Any, status: int = 200) -> web.Response:
    """Build a JSON response from a message."""
    return web.Response(
        body=codec.to_json(message), status=status, content_type="application/json"
    )


async def decode_body(request: web.Request, kind: type[T]) -> T:
    """Decode a request body; raise HTTPBadRequest if it does not fit the type."""
    try:
        return codec.from_json(await request.read(), kind)
    except msgspec.MsgspecError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def add_control(app: web.Application, owner: HasFaults, history: History) -> None:
    """Add /control/ready, /control/faults and /control/history."""

    async def ready(_request: web.Request) -> web.Response:
        return json_response({})

    async def read_faults(_request: web.Request) -> web.Response:
        return json_response(owner.faults)

    async def change_faults(request: web.Request) -> web.Response:
        values = msgspec.to_builtins(owner.faults)
        values.update(msgspec.json.decode(await request.read()))
        changed = msgspec.convert(values, type(owner.faults))
        for name in changed.__struct_fields__:
            setattr(owner.faults, name, getattr(changed, name))
        return json_response(owner.faults)

    async def read_history(_request: web.Request) -> web.Response:
        return json_response(history.records)

    app.router.add_get("/control/ready", ready)
    app.router.add_get("/control/faults", read_faults)
    app.router.add_post("/control/faults", change_faults)
    app.router.add_get("/control/history", read_history)


def abort_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class RateLimit:
    """Limit the rate of events by a leaky bucket that holds one second of them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.level = 0.0
        self.updated = clock()

    def allow(self, per_s: float) -> bool:
        """Return whether an event is within the rate and count it; 0 is unlimited."""
        now = self.clock()
        self.level = max(0.0, self.level - (now - self.updated) * per_s)
        self.updated = now
        if per_s <= 0:
            return True
        if self.level + 1 > max(1.0, per_s):
            return False
        self.level += 1
        return True


async def sleep_if_positive(seconds: float) -> None:
    """Sleep if the duration is positive."""
    if seconds > 0:
        await asyncio.sleep(seconds)
