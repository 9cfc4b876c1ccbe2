"""Make duty calls to the platform over HTTP."""

import asyncio
import functools
import socket
import struct
from collections.abc import Mapping
from types import SimpleNamespace
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from fulmarpulley_core.ids import AccountName, DataCentre, FenceNumber, ServiceName
from fulmarpulley_core.rollout.order_history import INTENT_VALIDITY_S, ORDER_DELIVERY_S
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout.duties import Duty, may_send
from ..rollout.interfaces import DutyFailure
from .connections import BoundedResponseConnector, BoundedResponseHandler
from .response_memory import ResponseMemory, read_body
from .wire import ScalingOrder, UsageReportBody

DUTIES = {"usage_reporting": Duty.USAGE, "autoscaling": Duty.SCALING}
# The platform may take seconds; the next owner calls no earlier than the lease allows.
MAX_CALL_S = 2.0
# Unacknowledged bytes are dropped by the kernel after this time, even while the process
# is frozen. It is shorter than the lease.
USER_TIMEOUT_MS = 1000
MAX_ANSWER_BYTES = 64 * 1024
MAX_LOGGED_ANSWER_LENGTH = 200
# Words by which the body of a 409 tells that a higher token was seen.
FENCE_WORDS = (b"fenc", b"token", b"lease", b"holder")


def configured_duties(settings: RolloutSettings) -> frozenset[Duty]:
    """Return the duties of the deployment that this build knows."""
    if not settings.duties_address:
        return frozenset()
    unknown = [name for name in settings.duties if name not in DUTIES]
    if unknown:
        log_event("duties_unknown", names=",".join(unknown))
    return frozenset(DUTIES[name] for name in settings.duties if name in DUTIES)


class DutyClient:
    """Call the platform, each time on a connection of its own.

    A connection that is not closed in time could deliver its request after those of the
    next holder. So the call is given up and the connection reset at the time limit.
    """

    def __init__(self, settings: RolloutSettings) -> None:
        self.base = f"http://{settings.duties_address}"
        self.node_id = settings.node_id
        lease_s = settings.bounds.lease_ms / 1000
        self.timeout_s = min(MAX_CALL_S, lease_s + ORDER_DELIVERY_S)
        self.memory = ResponseMemory()
        self._open_session: aiohttp.ClientSession | None = None

    async def report_usage(
        self, window: int, counts: Mapping[AccountName, int], fence: FenceNumber
    ) -> Result[None, DutyFailure]:
        """Report the requests of each account that began in a window."""
        body = msgspec.json.encode(UsageReportBody(window, counts))
        result = await self._post("/usage", body, fence)
        return result.and_then(
            lambda reply: _classify(reply[0], reply[1], DutyFailure.FENCED)
        )

    async def order_upstreams(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        count: int,
        spot: bool,
        fence: FenceNumber,
    ) -> Result[None, DutyFailure]:
        """Order the number of upstreams of a service in a data centre."""
        body = msgspec.json.encode(ScalingOrder(service, data_centre, count, spot))
        result = await self._post("/scaling", body, fence)
        return result.and_then(
            lambda reply: _classify(reply[0], reply[1], DutyFailure.UNAVAILABLE)
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._open_session is not None:
            await self._open_session.close()

    async def _post(
        self, path: str, body: bytes, fence: FenceNumber
    ) -> Result[tuple[int, bytes], DutyFailure]:
        """Return the status and body of the answer."""
        headers = {
            "Content-Type": "application/json",
            "Lease-Holder": self.node_id,
            "Fencing-Token": str(fence),
        }
        # Whether bytes of the request may have been written.
        sent = SimpleNamespace(begun=False)
        try:
            async with (
                asyncio.timeout(self.timeout_s),
                self._session.post(
                    self.base + path,
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                    trace_request_ctx=sent,
                ) as response,
            ):
                with self.memory.lease() as lease:
                    content = await read_body(response, lease, MAX_ANSWER_BYTES)
                    return Ok((response.status, bytes(content)))
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError):
            failure = DutyFailure.UNKNOWN if sent.begun else DutyFailure.UNREACHABLE
            return Err(failure)

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            self._open_session = _new_session()
        return self._open_session


class ResettingHandler(BoundedResponseHandler):
    """Drop the bytes that were not sent when the connection is closed."""

    def close(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()
        super().close()


class ResettingConnector(BoundedResponseConnector):
    """Open connections that use ResettingHandler.

    As in BoundedResponseConnector, the library has no public option for this.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = functools.partial(ResettingHandler, loop=self._loop)
        self._factory = factory


def _new_session() -> aiohttp.ClientSession:
    trace = aiohttp.TraceConfig()
    trace.on_request_chunk_sent.append(_check_send_limit)
    connector = ResettingConnector(
        limit=0, force_close=True, use_dns_cache=False, socket_factory=_create_socket
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=INTENT_VALIDITY_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        trace_configs=[trace],
    )
    session._retry_connection = False
    return session


async def _check_send_limit(
    _session: aiohttp.ClientSession,
    context: SimpleNamespace,
    _params: aiohttp.TraceRequestChunkSentParams,
) -> None:
    """Raise TimeoutError if it is too late to send the request.

    The library calls this right before it writes the head together with the body.
    """
    if not may_send():
        raise TimeoutError("the permit of the call has expired")
    context.trace_request_ctx.begun = True


def _create_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    sock = socket.socket(family=address[0], type=address[1], proto=address[2])
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    # Closing drops the bytes that the kernel has not sent, instead of repeating them.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.setblocking(False)
    return sock


def _classify(
    status: int, body: bytes, conflict: DutyFailure
) -> Result[None, DutyFailure]:
    """Return the outcome of a call by its answer.

    :param conflict: meaning of a 409 whose body does not tell it
    """
    if 200 <= status < 300:
        return Ok(None)
    if status == 409:
        is_fenced = any(word in body.lower() for word in FENCE_WORDS)
        return Err(DutyFailure.FENCED if is_fenced else conflict)
    if status in (429, 503):
        return Err(DutyFailure.REJECTED)
    text = body[:MAX_LOGGED_ANSWER_LENGTH].decode(errors="replace")
    log_event("duty_answer_unexpected", status=status, body=text)
    return Err(DutyFailure.REJECTED if status < 500 else DutyFailure.UNKNOWN)
