"""Call the platform's workers."""

import asyncio
import math
from collections.abc import Callable

import aiohttp
import msgspec
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from fulmarpulley_core.ids import AccountName, ItemId
from fulmarpulley_core.pool.messages import Failure
from fulmarpulley_core.rollout.upstreams import ListedUpstream
from fulmarpulley_schema.codec import from_json
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings
from fulmarpulley_schema.generated.steps import ItemSpec

from ..observe.events import log_event
from ..rollout.interfaces import (
    CallerRequest,
    ConnectionFault,
    EventSink,
    LoadOrder,
    UpstreamCallFailure,
    UpstreamResponse,
)
from ..rollout.rate_limits import RateLimits
from .connections import new_session
from .distinct_requests import DistinctRequestConnector
from .generation_stream import EventParser
from .headers import ACCOUNT_HEADER, end_to_end_headers, parse_int, without_identity
from .response_checks import (
    MISDIRECTED,
    belongs_to,
    check_control_response,
    check_response,
    check_stream,
)
from .response_memory import ResponseMemory, read_body
from .wire import ReportReply, VersionOrder
from .worker_reports import decode_runs

ORDER_TIMEOUT_S = 2.0
CONNECTION_CHECK_TIMEOUT_S = 1.0
# Loading takes 0.9 s. Waiting for a report instead would leave the engine idle, since
# reports lag by a few hundred ms. An engine that is still loading refuses its next
# request, or its response names the old version.
LOAD_WAIT_S = 0.95
# Limit for an item without a token limit.
DEFAULT_MAX_EVENTS = 1_000_000
ACCEPTED = 202
MAX_LOGGED_LIMIT_LENGTH = 40
# Reports list the models and runs of an engine in some KB.
MAX_REPORT_BYTES = 256 * 1024
# Events have a few hundred bytes.
MAX_EVENT_BYTES = 256 * 1024
SWITCH_MODE_RETAIN = "retain"


class WorkerClient:
    """Own the connections to all workers."""

    def __init__(self, settings: RolloutSettings, limits: RateLimits) -> None:
        self.node_id = settings.node_id
        self.limits = limits
        self.memory = ResponseMemory()
        # Called for each response of an upstream that is about to leave.
        self.on_leaving: Callable[[ListedUpstream], None] = lambda upstream: None
        self._open_session: aiohttp.ClientSession | None = None

    async def forward(
        self, upstream: ListedUpstream, request: CallerRequest, timeout_s: float
    ) -> Result[UpstreamResponse, UpstreamCallFailure]:
        """Send a plain request and return the complete response."""
        headers = end_to_end_headers(request.headers)
        headers["Expected-Instance"] = upstream.upstream_id
        if request.account:
            headers[ACCOUNT_HEADER] = request.account
        if request.deadline is not None:
            remaining_s = request.deadline - asyncio.get_running_loop().time()
            headers["Deadline-Ms"] = str(max(1, int(remaining_s * 1000)))
        url = URL(f"http://{upstream.address}{request.target}", encoded=True)
        sent_at = asyncio.get_running_loop().time()
        try:
            async with (
                asyncio.timeout(max(0.0, timeout_s)),
                self._session.request(
                    request.method,
                    url,
                    headers=headers,
                    data=request.body or None,
                    allow_redirects=False,
                ) as response,
            ):
                if belongs_to(response, request.request_id):
                    self._record_leaving(upstream, response)
                    self._record_limit(upstream, response, sent_at)
                failure = check_response(response, request.request_id)
                if failure is not None and failure.failure is not Failure.REFUSED:
                    response.close()
                    return Err(failure)
                with self.memory.lease() as lease:
                    # Also that of a refusal, after which the connection is used again.
                    body = await read_body(response, lease)
                    if failure is not None:
                        return Err(failure)
                    lease.keep()
                response_headers = CIMultiDict(end_to_end_headers(response.headers))
                return Ok(
                    UpstreamResponse(
                        status=response.status,
                        signature=response.headers.get("Server-Stamp", ""),
                        headers=response_headers,
                        body=body,
                        lease=lease,
                    )
                )
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(_to_call_failure(error))

    async def generate(
        self,
        upstream: ListedUpstream,
        host: str,
        item: ItemSpec,
        resume_after: int,
        min_version: int,
        sink: EventSink,
        account: AccountName | None = None,
    ) -> Result[None, UpstreamCallFailure]:
        """Run an item, resumed after an event, and pass on each event and version."""
        headers = CIMultiDict(item.headers)
        if account is not None:
            headers = without_identity(headers)
        if account:
            headers[ACCOUNT_HEADER] = account
        headers["Host"] = host
        headers["Request-Id"] = item.item_id
        headers["Expected-Instance"] = upstream.upstream_id
        if resume_after:
            headers["Last-Event-Id"] = str(resume_after)
        url = URL(f"http://{upstream.address}{item.path}", encoded=True)
        sent_at = asyncio.get_running_loop().time()
        try:
            async with self._session.post(
                url, headers=headers, data=item.body, allow_redirects=False
            ) as response:
                if belongs_to(response, item.item_id):
                    self._record_leaving(upstream, response)
                    self._record_limit(upstream, response, sent_at)
                failure = check_response(response, item.item_id) or check_stream(
                    response, min_version
                )
                if failure is not None:
                    response.close()
                    return Err(failure)
                max_events = item.max_tokens or DEFAULT_MAX_EVENTS
                return await _read_events(
                    response, resume_after, max_events, min_version, sink
                )
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(_to_call_failure(error))

    async def refuses_connections(self, upstream: ListedUpstream) -> bool:
        """Tell whether a worker refuses a new connection."""
        host, _, port = upstream.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECTION_CHECK_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        writer.close()
        return False

    async def running_requests(
        self, upstream: ListedUpstream
    ) -> Result[list[ItemId], str]:
        """Return the ids of the requests that a worker reports to run."""
        try:
            report = await self._read_report(upstream)
            return Ok(decode_runs(report.runs))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(repr(error))

    async def load_version(
        self, upstream: ListedUpstream, order: LoadOrder
    ) -> Result[None, str]:
        """Order an engine to load a version and wait for the usual load time."""
        try:
            report = await self._read_report(upstream)
            if _serves_version(report, order):
                return Ok(None)
            if not await order.permit():
                return Err("the order is not permitted")
            status = await self._send_order(upstream, order, report.orders)
            if status not in (200, ACCEPTED):
                return Err(f"the engine responded with status {status}")
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as error:
            return Err(repr(error))
        if status == ACCEPTED:
            await asyncio.sleep(LOAD_WAIT_S)
        return Ok(None)

    async def close(self) -> None:
        """Close all connections."""
        if self._open_session is not None:
            await self._open_session.close()

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            # A request that was sent may have run, whatever its method is.
            self._open_session = new_session(
                resend=False,
                small_buffers=True,
                connector_type=DistinctRequestConnector,
            )
        return self._open_session

    def _record_leaving(
        self, upstream: ListedUpstream, response: aiohttp.ClientResponse
    ) -> None:
        # A misdirected request was answered by another worker at the address.
        if (
            response.headers.get("Server-Leaving") == "1"
            and response.status != MISDIRECTED
        ):
            self.on_leaving(upstream)

    def _record_limit(
        self,
        upstream: ListedUpstream,
        response: aiohttp.ClientResponse,
        sent_at: float,
    ) -> None:
        """Record the rate limit in the head of a response."""
        if response.status == MISDIRECTED:
            return
        text = response.headers.get("Server-Limit")
        if text is None:
            if "Not-Executed" not in response.headers:
                self.limits.record_response(upstream, None, sent_at)
            return
        requests_per_s = _parse_limit(text)
        if requests_per_s is None:
            log_event(
                "upstream_limit_unreadable",
                upstream=upstream.upstream_id,
                value=text[:MAX_LOGGED_LIMIT_LENGTH],
            )
            return
        self.limits.record_response(upstream, requests_per_s, sent_at)

    async def _read_report(self, upstream: ListedUpstream) -> ReportReply:
        url = f"http://{upstream.address}/-/report"
        headers = {"Expected-Instance": upstream.upstream_id}
        async with (
            asyncio.timeout(ORDER_TIMEOUT_S),
            self._session.get(url, headers=headers) as response,
        ):
            check_control_response(response)
            self._record_leaving(upstream, response)
            if response.status != 200:
                raise ValueError(f"the report has status {response.status}")
            body = await self._read_short_body(response)
            return from_json(bytes(body), ReportReply)

    async def _read_short_body(self, response: aiohttp.ClientResponse) -> bytearray:
        with self.memory.lease() as lease:
            return await read_body(response, lease, MAX_REPORT_BYTES)

    async def _send_order(
        self, upstream: ListedUpstream, order: LoadOrder, expected_orders: int
    ) -> int:
        url = f"http://{upstream.address}/-/order"
        headers = {
            "Expected-Instance": upstream.upstream_id,
            "Content-Type": "application/json",
        }
        message = VersionOrder(
            model=order.model,
            version=order.version,
            switch_mode=SWITCH_MODE_RETAIN,
            holder=self.node_id,
            fence=order.fence,
            expected_orders=expected_orders,
        )
        body = msgspec.json.encode(message)
        async with (
            asyncio.timeout(ORDER_TIMEOUT_S),
            self._session.post(url, headers=headers, data=body) as response,
        ):
            check_control_response(response)
            self._record_leaving(upstream, response)
            content = await self._read_short_body(response)
            if content and response.status in (200, ACCEPTED):
                # A late copy of a report would state that the order already holds.
                raise ValueError("the response is not that to an order")
            return response.status


async def _read_events(
    response: aiohttp.ClientResponse,
    resume_after: int,
    max_events: int,
    min_version: int,
    sink: EventSink,
) -> Result[None, UpstreamCallFailure]:
    version = parse_int(response.headers["Weight-Versions"]) or 0
    parser = EventParser()
    expected = resume_after + 1
    async for chunk in response.content.iter_any():
        for event in parser.feed(chunk):
            reason = ""
            if expected > max_events:
                reason = f"received more than {max_events} events"
            elif event.number != expected:
                reason = f"received event {event.number}, expected {expected}"
            if reason:
                response.close()
                return Err(UpstreamCallFailure(Failure.BROKEN, reason))
            version = event.version if event.version is not None else version
            if version < min_version:
                response.close()
                reason = f"event {event.number} has outdated version {version}"
                return Err(UpstreamCallFailure(Failure.BROKEN, reason, version=version))
            sink(event.data, version)
            expected += 1
        if parser.rest_bytes > MAX_EVENT_BYTES:
            response.close()
            reason = f"event {expected} has more than {MAX_EVENT_BYTES} bytes"
            return Err(UpstreamCallFailure(Failure.BROKEN, reason))
    if parser.inside_event:
        response.close()
        reason = f"the stream ends within event {expected}"
        return Err(UpstreamCallFailure(Failure.BROKEN, reason))
    return Ok(None)


def _parse_limit(text: str) -> float | None:
    """Return the requests per second, or None if the text is not such a number."""
    try:
        requests_per_s = float(text)
    except ValueError:
        return None
    is_rate = math.isfinite(requests_per_s) and requests_per_s >= 0
    return requests_per_s if is_rate else None


def _to_call_failure(error: Exception) -> UpstreamCallFailure:
    connect_errors = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
    failure = Failure.NOT_SENT if isinstance(error, connect_errors) else Failure.BROKEN
    return UpstreamCallFailure(
        failure, repr(error)[:200], connection=_connection_fault(error)
    )


def _connection_fault(error: Exception) -> ConnectionFault | None:
    if isinstance(error, aiohttp.ClientConnectorError):
        refused = isinstance(error.os_error, ConnectionRefusedError)
        return ConnectionFault.REFUSED if refused else None
    # The library also raises subclasses of these for time-outs.
    if isinstance(error, TimeoutError) or not isinstance(
        error, (aiohttp.ClientConnectionError, aiohttp.ClientPayloadError, OSError)
    ):
        return None
    return ConnectionFault.LOST


def _serves_version(report: ReportReply, order: LoadOrder) -> bool:
    return any(
        entry.name == order.model and entry.version >= order.version
        for entry in report.models
    )
