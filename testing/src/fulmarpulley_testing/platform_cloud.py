"""Stand in for the platform's side of duty calls, and check the rules for holders."""

import asyncio
import time
from collections.abc import Callable
from enum import StrEnum
from typing import Any

import msgspec
from aiohttp import web

from .serving import abort_connection, json_response

SLOW_S = 1.0
# Calls are carried out this long after their connections were closed.
LATE_S = 2.0


class CloudMode(StrEnum):
    """Name how the platform handles duty calls."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    REJECT = "reject"
    LOSE_ANSWERS = "lose_answers"
    LATE = "late"


class DutyCall(msgspec.Struct):
    """Record a duty call and when it arrived."""

    subject: str
    holder: str
    token: int
    at: float
    body: Any


class BrokenRule(msgspec.Struct, frozen=True):
    """Describe a rule that a call broke; a pause of its sender may excuse it."""

    detail: str
    at: float
    excusable: bool = False


class PlatformCloud:
    """Take duty calls; `findings` tells which rules were broken."""

    def __init__(
        self, fencing_required: bool, lease_s: float, calls_per_s: float = 50.0
    ) -> None:
        self.fencing_required = fencing_required
        self.lease_s = lease_s
        self.calls_per_s = calls_per_s
        self.mode = CloudMode.UP
        # Calls that were carried out.
        self.calls: list[DutyCall] = []
        # Calls in the order in which they arrived. The platform alone decides when it
        # carries them out, so the order of the holders is checked by these.
        self.received: list[DutyCall] = []
        self.arrivals: list[float] = []
        self.findings: list[BrokenRule] = []
        # Counts of the windows by their first executed report.
        self.windows: dict[int, dict[str, int]] = {}
        # Data centres in which no upstreams are available.
        self.unavailable: set[str] = set()
        # Called with each order of upstreams that is carried out.
        self.on_order: Callable[[Any], None] = lambda _order: None

    def app(self) -> web.Application:
        """Return the application that serves the platform."""
        app = web.Application()
        app.router.add_post("/usage", self.report_usage)
        app.router.add_post("/scaling", self.order_upstreams)
        return app

    async def report_usage(self, request: web.Request) -> web.Response:
        """Take the counts of a window."""
        body = msgspec.json.decode(await request.read())
        return await self._receive(request, "usage", body)

    async def order_upstreams(self, request: web.Request) -> web.Response:
        """Take an order of upstreams."""
        body = msgspec.json.decode(await request.read())
        subject = f"scaling/{body['Service']}/{body['Zone']}"
        return await self._receive(request, subject, body)

    async def _receive(
        self, request: web.Request, subject: str, body: Any
    ) -> web.Response:
        now, mode = time.monotonic(), self.mode
        self.arrivals = [*(at for at in self.arrivals if at > now - 1.0), now]
        if mode is CloudMode.DOWN:
            return abort_connection(request)
        if mode is CloudMode.REJECT or len(self.arrivals) > self.calls_per_s:
            return web.Response(status=429)
        holder = request.headers["Lease-Holder"]
        token = int(request.headers["Fencing-Token"])
        call = DutyCall(subject, holder, token, now, body)
        self.check_holder(call)
        if mode is CloudMode.LATE:
            asyncio.get_running_loop().call_later(LATE_S, self.execute, call)
            return abort_connection(request)
        if mode is CloudMode.SLOW:
            await asyncio.sleep(SLOW_S)
        response = self.execute(call)
        if CloudMode.LOSE_ANSWERS in (mode, self.mode) or self.mode is CloudMode.DOWN:
            return abort_connection(request)
        return response

    def execute(self, call: DutyCall) -> web.Response:
        """Carry out a call unless its token is outdated, and return the answer."""
        if self.fencing_required and call.token < self._newest(self.calls, call):
            return web.Response(status=409, text="a higher token was seen")
        self.calls.append(call)
        if call.subject == "usage":
            window, counts = call.body["Window"], call.body["Counts"]
            if self.windows.setdefault(window, counts) != counts:
                self._add_finding(f"window {window} has two counts", call)
        elif call.body["Zone"] in self.unavailable:
            return web.Response(status=409, text="no upstreams are available")
        else:
            self.on_order(call.body)
        return json_response({})

    @staticmethod
    def _newest(calls: list[DutyCall], call: DutyCall) -> int:
        same = (other.token for other in calls if other.subject == call.subject)
        return max(same, default=0)

    def check_holder(self, call: DutyCall) -> None:
        """Check the rules for holders; calls that a fence stops break none."""
        newest = self._newest(self.received, call)
        if call.token < newest:
            if not self.fencing_required:
                detail = f"{call.holder} sent {call.token} after {newest}"
                self._add_finding(detail, call, excusable=True)
            return
        earlier = [each for each in self.received if each.subject == call.subject]
        self.received.append(call)
        others = [each for each in earlier if each.holder != call.holder]
        if any(each.token == call.token for each in others):
            self._add_finding(f"two holders used the token {call.token}", call)
        for index, other in enumerate(earlier):
            came_between = any(c.holder != call.holder for c in earlier[index:])
            is_recent = call.at < other.at + self.lease_s
            if other.holder == call.holder and came_between and is_recent:
                detail = f"{call.holder} acted before and after another"
                self._add_finding(detail, call, excusable=True)

    def _add_finding(
        self, detail: str, call: DutyCall, excusable: bool = False
    ) -> None:
        self.findings.append(
            BrokenRule(f"{call.subject}: {detail}", call.at, excusable)
        )
