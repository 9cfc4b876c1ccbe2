"""Stand in for the platform's side of duty calls, and check the rules for holders."""

import asyncio
import time
from enum import StrEnum
from typing import Any

import msgspec
from aiohttp import web

from .serving import abort_connection, json_response

SLOW_S = 1.0


class CloudMode(StrEnum):
    """Name how the platform handles duty calls."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    REJECT = "reject"
    LOSE_ANSWERS = "lose_answers"


class DutyCall(msgspec.Struct):
    """Record a duty call that arrived with a valid token."""

    subject: str
    holder: str
    token: int
    at: float
    body: Any


class PlatformCloud:
    """Take duty calls; `findings` tells which rules were broken."""

    def __init__(
        self, fencing_required: bool, lease_s: float, calls_per_s: float = 50.0
    ) -> None:
        self.fencing_required = fencing_required
        self.lease_s = lease_s
        self.calls_per_s = calls_per_s
        self.mode = CloudMode.UP
        self.calls: list[DutyCall] = []
        self.arrivals: list[float] = []
        self.findings: list[str] = []
        # Counts of the windows by their first executed report.
        self.windows: dict[int, dict[str, int]] = {}

    def app(self) -> web.Application:
        """Return the application that serves the platform."""
        app = web.Application()
        app.router.add_post("/usage", self.report_usage)
        app.router.add_post("/scaling", self.order_upstreams)
        return app

    async def report_usage(self, request: web.Request) -> web.Response:
        """Take the counts of a window."""
        body = msgspec.json.decode(await request.read())
        response = await self._execute(request, "usage", body)
        if response.status == 200 and self.mode is not CloudMode.DOWN:
            known = self.windows.setdefault(body["Window"], body["Counts"])
            if known != body["Counts"]:
                self.findings.append(f"window {body['Window']} has two counts")
        return await self._answer(request, response)

    async def order_upstreams(self, request: web.Request) -> web.Response:
        """Take an order of upstreams."""
        body = msgspec.json.decode(await request.read())
        subject = f"scaling/{body['Service']}/{body['Zone']}"
        response = await self._execute(request, subject, body)
        return await self._answer(request, response)

    async def _execute(
        self, request: web.Request, subject: str, body: Any
    ) -> web.Response:
        now = time.monotonic()
        self.arrivals = [*(at for at in self.arrivals if at > now - 1.0), now]
        if self.mode is CloudMode.REJECT or len(self.arrivals) > self.calls_per_s:
            return web.Response(status=429)
        if self.mode is CloudMode.SLOW:
            await asyncio.sleep(SLOW_S)
        if self.mode is CloudMode.DOWN:
            return web.Response(status=200)
        holder = request.headers["Lease-Holder"]
        token = int(request.headers["Fencing-Token"])
        earlier = [call for call in self.calls if call.subject == subject]
        newest = max((call.token for call in earlier), default=0)
        if self.fencing_required and token < newest:
            return web.Response(status=409, text="a higher token was seen")
        call = DutyCall(subject, holder, token, time.monotonic(), body)
        self._check(call, earlier, newest)
        self.calls.append(call)
        return json_response({})

    def _check(self, call: DutyCall, earlier: list[DutyCall], newest: int) -> None:
        if call.token < newest:
            self.findings.append(f"{call.holder} sent {call.token} after {newest}")
        others = [c for c in earlier if c.holder != call.holder]
        if any(c.token == call.token for c in others):
            self.findings.append(f"two holders used the token {call.token}")
        for index, other in enumerate(earlier):
            came_between = any(c.holder != call.holder for c in earlier[index:])
            is_recent = call.at < other.at + self.lease_s
            if other.holder == call.holder and came_between and is_recent:
                self.findings.append(f"{call.holder} acted before and after another")

    async def _answer(
        self, request: web.Request, response: web.Response
    ) -> web.Response:
        if self.mode in (CloudMode.DOWN, CloudMode.LOSE_ANSWERS):
            return abort_connection(request)
        return response
