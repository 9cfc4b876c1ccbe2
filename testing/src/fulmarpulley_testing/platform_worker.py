"""Stand in for a worker of the platform with the calls that its protocol defines."""

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec
from aiohttp import web

from .serving import abort_connection, json_response


def server_stamp(worker: str, request_id: str) -> str:
    """Return the Server-Stamp that a worker gives its answer to a request."""
    return f"{worker}.{request_id}"


class AnswerTruncation(Enum):
    """Name where the answer to a plain request breaks off after the request has run."""

    UNSENT = "unsent"
    WITHIN_LENGTH = "within_length"
    WITHIN_CHUNKS = "within_chunks"


class Run(msgspec.Struct):
    """Record one execution of a request, which may resume after an earlier event."""

    worker: str
    request_id: str
    resume_after: int
    method: str
    path: str
    body: bytes
    started: float = 0.0
    events: int = 0
    last_event: float = 0.0
    versions: list[int] = []
    complete: bool = False
    ended: bool = False
    ended_at: float = float("inf")
    # Whether the run crashed the worker.
    crashed: bool = False
    # Account that the request names.
    account: str | None = None
    # Credentials that the request carries.
    credentials: str | None = None


class Order(msgspec.Struct):
    """Record an order that a worker accepted."""

    holder: str
    fence: int
    version: int
    at: float = 0.0


class LimitPeriod(msgspec.Struct):
    """Record how long responses stated a rate limit."""

    requests_per_s: float
    stated_at: float
    ended_at: float = float("inf")


class PlatformWorker:
    """Run requests, stream events and load versions, with faults set by attributes."""

    def __init__(self, name: str, models: list[str]) -> None:
        self.name = name
        self.versions = dict.fromkeys(models, 1)
        self.slots = 1000
        self.event_s = 0.01
        self.order_delay_s = 0.0
        self.events_per_item = 5
        self.load_s = 0.05
        self.loading = False
        self.fail_status = 0
        # Status that answers have on the wire, also one that HTTP does not know.
        self.status_text = ""
        # Ids of requests that fail each time they run.
        self.failing_requests: set[str] = set()
        # Bodies of requests that crash the worker as soon as they run.
        self.deadly_bodies: set[bytes] = set()
        # Ends the worker; set by the owner of its sockets.
        self.crash: Callable[[], None] = lambda: None
        self.break_after: int | None = None
        self.wrong_id = False
        self.reset_without_length = False
        self.answer_truncation: AnswerTruncation | None = None
        # While this is set, streams that have sent no event yet send comments only.
        self.comments_only = False
        self.first_event_delay_s = 0.0
        # While this is set, all responses say that the worker is about to leave.
        self.leaving = False
        # Start of the worker in Unix milliseconds, as its entry says.
        self.born = 1
        # Requests per second that responses state as the limit of the worker.
        self.rate_limit: float | None = None
        # Size of the answers to plain requests; 0 for short ones.
        self.answer_bytes = 0
        self.limit_periods: list[LimitPeriod] = []
        # Times of all requests, including refused ones.
        self.arrivals: list[float] = []
        self.runs: list[Run] = []
        self.orders: list[Order] = []
        self.accepted_orders = 0
        # Age of the runs in a report, and the number of reports.
        self.report_lag_s = 0.2
        self.reports = 0

    def app(self) -> web.Application:
        """Return the application that serves the worker."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/-/report", self.report)
        app.router.add_post("/-/order", self.order)
        app.router.add_route("*", "/{path:.*}", self.run)
        return app

    def entry(self, service: str, address: str, zone: str, slots: int) -> Any:
        """Return the entry of the worker in the store."""
        models = [{"Name": m, "Version": v} for m, v in self.versions.items()]
        return {
            "Service": service,
            "Address": address,
            "Zone": zone,
            "Version": "v1",
            "Slots": slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Models": models,
            "Sequence": 1,
            "born": self.born,
        }

    async def report(self, request: web.Request) -> web.Response:
        """Report the versions that the worker serves, and the runs of a moment ago."""
        self.reports += 1
        as_of = time.monotonic() - self.report_lag_s
        running = [r for r in self.runs if r.started <= as_of < r.ended_at]
        models = [{"Name": m, "Version": v} for m, v in self.versions.items()]
        response = json_response(
            {
                "Models": models,
                "Busy": self.loading,
                "Sequence": self.accepted_orders,
                "RunningRequests": len(running),
                "Runs": [[r.request_id, r.events * 10, r.events, 1] for r in running],
            }
        )
        response.headers.update(self._leaving_headers())
        return response

    async def order(self, request: web.Request) -> web.Response:
        """Accept an order to load a version."""
        if request.headers.get("Expected-Instance") != self.name:
            return web.Response(status=421)
        body = msgspec.json.decode(await request.read())
        if self.order_delay_s:
            return await self._apply_order_late(request, body)
        return self._apply_order(body, time.monotonic())

    async def _apply_order_late(self, request: web.Request, body: Any) -> web.Response:
        """Drop the connection and apply the order later, if it is still valid then."""
        loop = asyncio.get_running_loop()
        arrived = time.monotonic()
        loop.call_later(self.order_delay_s, self._apply_order, body, arrived)
        return abort_connection(request)

    def _apply_order(self, body: Any, arrived: float) -> web.Response:
        newest = max((order.fence for order in self.orders), default=0)
        headers = self._leaving_headers()
        if body["FencingToken"] < newest:
            return web.Response(status=412, headers=headers)
        if (
            self.loading
            or body.get("Precondition", self.accepted_orders) != self.accepted_orders
        ):
            return web.Response(status=409, headers=headers)
        self.accepted_orders += 1
        accepted = Order(body["Holder"], body["FencingToken"], body["Version"], arrived)
        self.orders.append(accepted)
        self.loading = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.load_s, self._finish_load, body["Model"], body["Version"])
        return web.Response(status=202, headers=headers)

    def _finish_load(self, model: str, version: int) -> None:
        self.versions[model] = version
        self.loading = False

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run a request; answer with an event stream if it names a model."""
        headers = request.headers
        echo = {"Request-Id": headers.get("Request-Id", "")}
        if headers.get("Expected-Instance") != self.name:
            return web.Response(status=421, headers={"Not-Executed": "1", **echo})
        self.arrivals.append(time.monotonic())
        model = headers.get("Model")
        running = sum(not run.ended for run in self.runs)
        if running >= self.slots or (model is not None and self.loading):
            refused = {
                "Not-Executed": "1",
                **echo,
                **self._limit_headers(),
                **self._leaving_headers(),
            }
            return web.Response(status=503, headers=refused)
        run = Run(
            worker=self.name,
            request_id=headers["Request-Id"],
            resume_after=int(headers.get("Last-Event-Id", "0")),
            method=request.method,
            path=request.raw_path,
            body=await request.read(),
            started=time.monotonic(),
            account=headers.get("Tenant"),
            credentials=headers.get("Authorization"),
        )
        self.runs.append(run)
        if run.body in self.deadly_bodies:
            run.crashed = True
            self.crash()
        try:
            return await self._answer(request, run, model)
        finally:
            run.ended = True
            run.ended_at = time.monotonic()

    async def _answer(
        self, request: web.Request, run: Run, model: str | None
    ) -> web.StreamResponse:
        if self.fail_status or run.request_id in self.failing_requests:
            status = self.fail_status or 500
            return web.Response(status=status, headers=self._response_headers(run))
        if self.status_text:
            return await self._send_status_text(request, run)
        if model is not None:
            return await self._stream(request, run, model)
        if self.reset_without_length:
            return await self._reset_without_length(request, run)
        await asyncio.sleep(self.event_s)
        if self.answer_truncation is not None:
            return await self._truncate_answer(request, run, self.answer_truncation)
        run.complete = True
        body = b"a" * self.answer_bytes or b"answer " + run.body
        return web.Response(body=body, headers=self._response_headers(run))

    async def _stream(
        self, request: web.Request, run: Run, model: str
    ) -> web.StreamResponse:
        version = self.versions[model]
        headers = {**self._response_headers(run), "Weight-Versions": str(version)}
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        while self.comments_only:
            await response.write(b": wait\n")
            await asyncio.sleep(self.event_s)
        await asyncio.sleep(self.first_event_delay_s)
        for number in range(run.resume_after + 1, self.events_per_item + 1):
            await asyncio.sleep(self.event_s)
            if run.events == self.break_after and request.transport is not None:
                request.transport.abort()
                return response
            version_change = b""
            if self.versions[model] != version:
                version = self.versions[model]
                version_change = f"weight-versions: {version}\n".encode()
            data = f"id: {number}\ndata: {run.request_id}:{number}\n\n".encode()
            # An event counts as produced even if the client no longer reads.
            run.events += 1
            run.last_event = time.monotonic()
            run.versions.append(version)
            await response.write(version_change + data)
        run.complete = True
        return response

    async def _send_status_text(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Send a whole answer with any status, then close the connection."""
        transport = request.transport
        assert transport is not None
        fields = {**self._response_headers(run), "Content-Length": "6"}
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        status_line = f"HTTP/1.1 {self.status_text} Odd"
        transport.write(f"{status_line}\r\n{head}\r\nanswer".encode())
        await asyncio.sleep(0.1)
        return abort_connection(request)

    async def _reset_without_length(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Send headers without a length and a part of the body, then send a reset."""
        transport = request.transport
        assert transport is not None
        head = "".join(f"{k}: {v}\r\n" for k, v in self._response_headers(run).items())
        transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\nans".encode())
        await asyncio.sleep(0.1)
        raw_socket = transport.get_extra_info("socket")
        zero_linger = struct.pack("ii", 1, 0)
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
        return abort_connection(request)

    async def _truncate_answer(
        self, request: web.Request, run: Run, truncation: AnswerTruncation
    ) -> web.StreamResponse:
        """Close the connection before the answer is complete."""
        if truncation is AnswerTruncation.UNSENT:
            return abort_connection(request)
        body = b"answer " + run.body
        response = web.StreamResponse(headers=self._response_headers(run))
        if truncation is AnswerTruncation.WITHIN_LENGTH:
            response.content_length = len(body)
        else:
            response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(body[:-1])
        if request.transport is not None:
            request.transport.close()
        return response

    def _response_headers(self, run: Run) -> dict[str, str]:
        request_id = "another" if self.wrong_id else run.request_id
        signature = server_stamp(self.name, run.request_id)
        return {
            "Request-Id": request_id,
            "Server-Stamp": signature,
            **self._limit_headers(),
            **self._leaving_headers(),
        }

    def _leaving_headers(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self.leaving else {}

    def _limit_headers(self) -> dict[str, str]:
        now, periods = time.monotonic(), self.limit_periods
        stated = periods[-1].requests_per_s if periods else None
        if periods and stated != self.rate_limit:
            periods[-1].ended_at = min(periods[-1].ended_at, now)
        if self.rate_limit is None:
            return {}
        if not periods or periods[-1].ended_at <= now:
            periods.append(LimitPeriod(self.rate_limit, now))
        return {"Server-Limit": f"{self.rate_limit:.1f}"}
