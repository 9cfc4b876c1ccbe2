"""Serve HTTP requests of callers, trainers and the load balancer."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web
from aiomisc import Service
from result import Err

from fulmarpulley_core.ids import ItemId, StepId
from fulmarpulley_core.registry import Registry
from fulmarpulley_core.rollout.topology import Route, RouteKind
from fulmarpulley_schema.codec import from_json
from fulmarpulley_schema.generated.http import Ran
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout.directory import Directory
from ..rollout.forwarder import Forwarder, Refusal
from ..rollout.interfaces import CallerRequest
from ..rollout.metrics import RolloutMetrics
from ..rollout.step_frontend import SUBMIT_TIMEOUT_S, StepFrontend, StepOutcome
from . import wire
from .connections import refuse_new_connections
from .headers import caller_credentials, end_to_end_headers, parse_int
from .step_messages import to_reply, to_step

MAX_RESULT_WAIT_S = 1.0
# Clients retry after this time, and the retry reaches another node.
RETRY_AFTER_S = 0.2
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
# A node that has not read the configuration for longer, for example after a pause,
# cannot tell that a route does not exist. Shorter than the time within which an
# acknowledged configuration must be in force.
MAX_CONFIG_AGE_S = 2.0
# Trainers' calls other than submissions are begun as long as this time is left; apart
# from the wait for a result, few take longer.
STEP_CALL_S = 0.4
# Time between the last decision on a request and the end of its response.
RESPONSE_MARGIN_S = 0.1

STEPS_PATH = "/-/lots/"
ITEMS_PATH = "/-/items/"
READINESS_PATH = "/-/readiness"

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
StepHandler = Callable[["Ingress", web.BaseRequest, StepId], Awaitable[web.Response]]
step_handlers: Registry[StepHandler] = Registry("step request handler")


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
        return self.directory.routes is not None and not self.shutting_down

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
            response = _error_response(413, "the body is too large")
        except Exception as error:
            log_event("request_failed", path=request.path, error=repr(error))
            response = _error_response(502, "the node failed to handle the request")
        finally:
            self.open_requests -= 1
        if self.closing:
            response.force_close()
        return response

    async def _handle_in_time(self, request: web.BaseRequest) -> web.Response:
        """Handle a request, and give it an answer before the node stops."""
        if not self.remaining_s():
            return _stopping_response()
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
            return _error_response(504, "the node stops before the request ended")

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        routes = self.directory.routes
        if routes is None:
            return _unavailable_response("the node knows no configuration yet")
        path = request.raw_path.partition("?")[0]
        if path.startswith((STEPS_PATH, ITEMS_PATH)):
            return await self._handle_step_request(request, path)
        route = routes.find(request.host.partition(":")[0], path)
        if route is None:
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
                return _unavailable_response("the configuration may be outdated")
            return _error_response(404, "no route matches")
        body = await request.read()
        if route.kind is RouteKind.ROLLOUT and request.method == "POST":
            version = routes.topology.version
            return await self._submit(request, route, version, path, body)
        return await self._forward(request, route, body)

    async def _handle_step_request(
        self, request: web.BaseRequest, path: str
    ) -> web.Response:
        prefix = STEPS_PATH if path.startswith(STEPS_PATH) else ITEMS_PATH
        name = f"{request.method} {prefix}"
        if name not in step_handlers:
            return _error_response(404, "no such call")
        if not self._can_answer_within(STEP_CALL_S):
            return _stopping_response()
        return await step_handlers.get(name)(self, request, StepId(path[len(prefix) :]))

    async def _forward(
        self, request: web.BaseRequest, route: Route, body: bytes
    ) -> web.Response:
        loop = asyncio.get_running_loop()
        deadline_ms = parse_int(request.headers.get("Deadline-Ms"))
        caller_request = CallerRequest(
            request_id=request.headers.get("Request-Id", ""),
            method=request.method,
            target=request.raw_path,
            host=request.host,
            headers=request.headers,
            body=body,
            deadline=None if deadline_ms is None else loop.time() + deadline_ms / 1000,
            caller=caller_credentials(request.headers),
        )
        response = await self.forwarder.forward(route, caller_request)
        if isinstance(response, Refusal):
            return _refusal_response(response)
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
    ) -> web.Response:
        if not self._can_answer_within(SUBMIT_TIMEOUT_S):
            return _stopping_response()
        step_id = request.headers.get("Request-Id", "")
        try:
            submission = from_json(body, wire.Submission)
            step = to_step(submission, step_id, request.host, path, config_version)
        except (msgspec.DecodeError, ValueError) as error:
            log_event("step_unreadable", step=step_id, error=str(error))
            return _error_response(400, f"the submission cannot be read: {error}")
        outcome = await self.steps.submit(route, step)
        if outcome is StepOutcome.DONE:
            return web.Response(status=202)
        response = _step_error_response(outcome)
        response.headers["Retry-After"] = f"{SUBMIT_RETRY_AFTER_S:.3f}"
        return response

    async def _listen(
        self, endpoint: str, handler: Handler
    ) -> tuple[socket.socket, web.SockSite]:
        server = web.Server(
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


@step_handlers.register(f"GET {STEPS_PATH}")
async def read_results(
    ingress: Ingress, request: web.BaseRequest, step_id: StepId
) -> web.Response:
    """Return the results of a step from a position on."""
    after = parse_int(request.query.get("After", "0"))
    if after is None:
        return _error_response(400, "After must be a whole number")
    wait_ms = parse_int(request.headers.get("Wait-Ms")) or 0
    longest_s = max(0.0, ingress.remaining_s() - STEP_CALL_S)
    wait_s = min(MAX_RESULT_WAIT_S, wait_ms / 1000, longest_s)
    result = await ingress.steps.results(request.host, step_id, after, wait_s)
    if isinstance(result, Err):
        return _step_error_response(result.err_value)
    return _json_response(to_reply(result.ok_value))


@step_handlers.register(f"DELETE {STEPS_PATH}")
async def end_step(
    ingress: Ingress, request: web.BaseRequest, step_id: StepId
) -> web.Response:
    """End a step."""
    outcome = await ingress.steps.end(request.host, step_id)
    if outcome is StepOutcome.DONE:
        return web.Response(status=200)
    return _step_error_response(outcome)


@step_handlers.register(f"GET {ITEMS_PATH}")
async def read_body(
    ingress: Ingress, request: web.BaseRequest, step_id: StepId
) -> web.Response:
    """Return the body of an item whose result is not listed yet."""
    item_id = ItemId(request.query.get("Id", ""))
    result = await ingress.steps.body(request.host, step_id, item_id)
    if isinstance(result, Err):
        return _step_error_response(result.err_value)
    return web.Response(body=result.ok_value)


def _json_response(message: msgspec.Struct) -> web.Response:
    body = msgspec.json.encode(message)
    return web.Response(body=body, content_type="application/json")


def _error_response(status: int, reason: str) -> web.Response:
    return web.Response(status=status, text=reason)


def _unavailable_response(
    reason: str, retry_after_s: float | None = None
) -> web.Response:
    response = _error_response(503, reason)
    wait_s = RETRY_AFTER_S if retry_after_s is None else retry_after_s
    response.headers["Retry-After"] = f"{wait_s:.3f}"
    return response


def _stopping_response() -> web.Response:
    return _unavailable_response("the node is about to stop")


def _refusal_response(refusal: Refusal) -> web.Response:
    reason = f"the request was refused: {refusal.code}"
    if refusal.ran is Ran.NOT_RUN:
        return _unavailable_response(reason, refusal.retry_after_s)
    return _error_response(504 if refusal.code == "deadline_passed" else 502, reason)


def _step_error_response(outcome: StepOutcome) -> web.Response:
    if outcome is StepOutcome.NOT_FOUND:
        return _error_response(404, "there is no such step or item")
    if outcome is StepOutcome.REFUSED:
        return _unavailable_response("the log cannot be reached; nothing was done")
    return _error_response(504, "the log did not answer in time")
