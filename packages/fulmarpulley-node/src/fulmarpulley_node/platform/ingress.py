"""Serve HTTP requests of callers, trainers and the load balancer."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from aiomisc import Service

from fulmarpulley_core.ids import AccountName, StepId
from fulmarpulley_core.rollout.topology import Route, RouteKind, RouteTable
from fulmarpulley_schema.codec import from_json
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout.directory import MAX_CONFIG_AGE_S, Directory
from ..rollout.forwarder import Forwarder, Refusal
from ..rollout.interfaces import CallerRequest
from ..rollout.key_gate import KeyDecision, KeyVerdict
from ..rollout.metrics import RolloutMetrics
from ..rollout.step_frontend import SUBMIT_TIMEOUT_S, StepFrontend, StepOutcome
from . import wire
from .connections import refuse_new_connections
from .headers import end_to_end_headers, parse_int
from .http_server import Server
from .key_check import KeyCheck, caller_of, forwarded_headers, key_refusal_response
from .responses import (
    error_response,
    refusal_response,
    step_error_response,
    stopping_response,
    unavailable_response,
)
from .step_calls import ITEMS_PATH, STEP_CALL_S, STEPS_PATH, step_handlers
from .step_messages import to_step

# A trainer that could not submit a step waits longer, since the store may be down.
SUBMIT_RETRY_AFTER_S = 1.0
HEADER_LIMIT_BYTES = 65536
IDLE_TIMEOUT_S = 16.0
BACKLOG = 512
# Connections whose handshake had begun before new ones are dropped are accepted
# within this time.
HANDSHAKE_WAIT_S = 0.1
# Requests that clients send while the last responses go out arrive within this time.
QUIET_PERIOD_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.05
# Time between the last decision on a request and the end of its response.
RESPONSE_MARGIN_S = 0.1

READINESS_PATH = "/-/readiness"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Ingress(Service):
    """Own the listening sockets of a node and dispatch its requests."""

    def __init__(
        self,
        settings: RolloutSettings,
        directory: Directory,
        steps: StepFrontend,
        forwarder: Forwarder,
        metrics: RolloutMetrics,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.directory = directory
        self.steps = steps
        self.forwarder = forwarder
        self.metrics = metrics
        self.key_check = KeyCheck(settings, directory, metrics)
        self.shutting_down = False
        # Event loop time by which all requests must be answered.
        self.answer_by: float | None = None
        # Whether connections are closed after the next response.
        self.closing = False
        self.time_limits: set[asyncio.Timeout] = set()
        self.open_requests = 0
        self.last_request_at = float("-inf")
        self.runners: list[web.ServerRunner] = []
        self.callers_site: web.SockSite | None = None
        self.callers_socket: socket.socket | None = None

    async def start(self) -> None:
        """Open the listening sockets."""
        listen = self._listen
        self.callers_socket, self.callers_site = await listen(
            self.settings.callers, self.handle_request
        )
        await listen(self.settings.readiness, self.handle_readiness)
        await listen(self.settings.metrics, self.handle_metrics)

    def stop_by(self, deadline: float) -> None:
        """Report the node as not ready and answer all requests before a time.

        :param deadline: event loop time
        """
        self.shutting_down = True
        self.answer_by = deadline - RESPONSE_MARGIN_S
        for time_limit in self.time_limits:
            time_limit.reschedule(self.answer_by)
        self.forwarder.stop_by(self.answer_by - RESPONSE_MARGIN_S)

    async def drain(self, deadline: float) -> None:
        """Refuse new connections and wait until all requests are answered.

        :param deadline: event loop time at which to stop waiting
        """
        loop = asyncio.get_running_loop()
        self.closing = True
        if self.callers_socket is not None and self.callers_site is not None:
            try:
                refuse_new_connections(self.callers_socket)
            except OSError as error:
                # Without the filter, connections that are being opened may be reset.
                log_event("connections_not_refused", error=str(error))
            await asyncio.sleep(HANDSHAKE_WAIT_S)
            await self.callers_site.stop()
        self.last_request_at = max(self.last_request_at, loop.time())
        while loop.time() < deadline:
            if (
                not self.open_requests
                and loop.time() > self.last_request_at + QUIET_PERIOD_S
            ):
                return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all connections."""
        for runner in self.runners:
            await runner.cleanup()

    @property
    def ready(self) -> bool:
        """Tell whether the node accepts new connections."""
        return (
            self.directory.routes is not None
            and self.key_check.gate.ready
            and not self.shutting_down
        )

    async def handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer the readiness check of the load balancer."""
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.ready else 503)

    async def handle_metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the metrics."""
        body, headers = self.metrics.render(["text/plain"])
        return web.Response(body=body, headers=headers)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller or trainer."""
        self.open_requests += 1
        self.last_request_at = asyncio.get_running_loop().time()
        try:
            response = await self._handle_in_time(request)
        except (asyncio.CancelledError, ConnectionError):
            raise
        except web.HTTPRequestEntityTooLarge:
            response = error_response(413, "the body is too large")
        except Exception as error:
            log_event("request_failed", path=request.path, error=repr(error))
            response = error_response(502, "the node failed to handle the request")
        finally:
            self.open_requests -= 1
        if self.closing:
            response.force_close()
        return response

    async def _handle_in_time(self, request: web.BaseRequest) -> web.Response:
        """Handle a request, and give it an answer before the node stops."""
        if not self.remaining_s():
            return stopping_response()
        try:
            async with asyncio.timeout_at(self.answer_by) as time_limit:
                self.time_limits.add(time_limit)
                try:
                    return await self._handle(request)
                finally:
                    self.time_limits.discard(time_limit)
        except TimeoutError:
            if not time_limit.expired():
                raise
            log_event("request_ended_by_stop", path=request.path)
            return error_response(504, "the node stops before the request ended")

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        routes = self.directory.routes
        if routes is None:
            return unavailable_response("the node knows no configuration yet")
        path = request.raw_path.partition("?")[0]
        if path.startswith((STEPS_PATH, ITEMS_PATH)):
            return await self._handle_step_request(request, routes, path)
        route = routes.find(request.host.partition(":")[0], path)
        if route is None:
            return self._deny_route(request, routes, path)
        return await self._handle_routed(request, routes, route, path)

    def _deny_route(
        self, request: web.BaseRequest, routes: RouteTable, path: str
    ) -> web.Response:
        config_age_s = self.directory.config_age_s()
        log_event(
            "request_without_route",
            request=request.headers.get("Request-Id", ""),
            host=request.host,
            path=path,
            config=routes.topology.version,
            config_age_s=config_age_s,
        )
        if config_age_s > MAX_CONFIG_AGE_S:
            return unavailable_response("the configuration may be outdated")
        return error_response(404, "no route matches")

    async def _handle_routed(
        self, request: web.BaseRequest, routes: RouteTable, route: Route, path: str
    ) -> web.Response:
        decision = self.key_check.decide(request, route.name, route.anonymous)
        if decision.verdict is not KeyVerdict.ACCEPTED:
            return key_refusal_response(decision)
        body = await request.read()
        # A body may take long to arrive, and the key may be removed meanwhile.
        decision = self.key_check.decide(request, route.name, route.anonymous)
        if decision.verdict is not KeyVerdict.ACCEPTED:
            return key_refusal_response(decision)
        if route.kind is RouteKind.ROLLOUT and request.method == "POST":
            version = routes.topology.version
            account = decision.account_name
            return await self._submit(request, route, version, path, body, account)
        return await self._forward(request, route, body, decision)

    async def _handle_step_request(
        self, request: web.BaseRequest, routes: RouteTable, path: str
    ) -> web.Response:
        prefix = STEPS_PATH if path.startswith(STEPS_PATH) else ITEMS_PATH
        name = f"{request.method} {prefix}"
        if name not in step_handlers:
            return error_response(404, "no such call")
        if not self._can_answer_within(STEP_CALL_S):
            return stopping_response()
        anonymous = any(
            route.anonymous and route.kind is RouteKind.ROLLOUT
            for route in routes.routes_for_host(request.host.partition(":")[0])
        )
        decision = self.key_check.decide(request, prefix, anonymous)
        if decision.verdict is not KeyVerdict.ACCEPTED:
            return key_refusal_response(decision)
        step_id = StepId(path[len(prefix) :])
        handler = step_handlers.get(name)
        return await handler(self, request, step_id, decision.account_name)

    async def _forward(
        self,
        request: web.BaseRequest,
        route: Route,
        body: bytes,
        decision: KeyDecision,
    ) -> web.Response:
        loop = asyncio.get_running_loop()
        deadline_ms = parse_int(request.headers.get("Deadline-Ms"))
        caller_request = CallerRequest(
            request_id=request.headers.get("Request-Id", ""),
            method=request.method,
            target=request.raw_path,
            host=request.host,
            headers=forwarded_headers(request, decision),
            body=body,
            deadline=None if deadline_ms is None else loop.time() + deadline_ms / 1000,
            caller=caller_of(request, decision),
            account=decision.account_name or AccountName(""),
            priority=decision.account.priority if decision.account else None,
        )
        response = await self.forwarder.forward(route, caller_request)
        if isinstance(response, Refusal):
            return refusal_response(response)
        headers = end_to_end_headers(response.headers)
        answer = web.Response(
            status=response.status, headers=headers, body=response.body
        )
        # The body takes memory until it has been sent.
        answer["lease"] = response.lease
        return answer

    def remaining_s(self) -> float:
        """Return the time in which a request must be answered."""
        if self.answer_by is None:
            return float("inf")
        return max(0.0, self.answer_by - asyncio.get_running_loop().time())

    def _can_answer_within(self, usual_s: float) -> bool:
        """Tell whether a request that takes this long ends before the node does."""
        return usual_s <= self.remaining_s()

    async def _submit(
        self,
        request: web.BaseRequest,
        route: Route,
        config_version: int,
        path: str,
        body: bytes,
        account: AccountName | None,
    ) -> web.Response:
        if not self._can_answer_within(SUBMIT_TIMEOUT_S):
            return stopping_response()
        step_id = request.headers.get("Request-Id", "")
        try:
            submission = from_json(body, wire.Submission)
            step = to_step(
                submission, step_id, request.host, path, config_version, account
            )
        except (msgspec.DecodeError, ValueError) as error:
            log_event("step_unreadable", step=step_id, error=str(error))
            return error_response(400, f"the submission cannot be read: {error}")
        outcome = await self.steps.submit(route, step, account)
        if outcome is StepOutcome.DONE:
            return web.Response(status=202)
        response = step_error_response(outcome)
        if outcome is StepOutcome.NOT_FOUND:
            return response
        response.headers["Retry-After"] = f"{SUBMIT_RETRY_AFTER_S:.3f}"
        return response

    async def _listen(
        self, endpoint: str, handler: Handler
    ) -> tuple[socket.socket, web.SockSite]:
        server = Server(
            handler,
            access_log=None,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
        )
        runner = web.ServerRunner(server, shutdown_timeout=0.5)
        await runner.setup()
        host, _, port = endpoint.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        site = web.SockSite(runner, listener, backlog=BACKLOG)
        await site.start()
        self.runners.append(runner)
        return listener, site
