"""Open connections that detect silent peers and bound the size of responses."""

import asyncio
import ctypes
import functools
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import StreamReader

from ..rollout.opened_connections import record_connection
from .headers import parse_int
from .response_memory import MAX_RESPONSE_BYTES

# A connection is closed when sent bytes stay unacknowledged for this long.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1.0
# Workers close idle connections after 10 s. A shorter timeout here makes it unlikely
# that a request is sent on a connection that is just being closed.
IDLE_TIMEOUT_S = 9.0
# Covers interim responses and the final head together; the HTTP library limits only
# single lines and header fields.
MAX_HEAD_BYTES = 128 * 1024
# Responses are parsed in pieces of this size, so that a limit ends them before the
# library makes many objects of them.
PIECE_BYTES = 4096
# The HTTP library also passes on other numbers of three digits, such as 000.
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
# No request asks for another protocol.
SWITCHING_PROTOCOLS = 101
MAX_INTERIM_RESPONSES = 16
# Each chunk takes far more time to parse than its bytes. A body may have this many
# bytes around its chunks, and more with its size and with the time that it takes, so
# that large bodies and long streams of small events pass.
MAX_FRAMING_BYTES = 64 * 1024
MAX_FRAMING_SHARE = 1 / 16
MAX_FRAMING_BYTES_PER_S = 25_000
# The library stops reading a connection when twice this much waits for the reader.
READ_BUFFER_BYTES = 64 * 1024
SMALL_READ_BUFFER_BYTES = 16 * 1024
# Received bytes that the kernel holds count as memory of the process.
SMALL_RECEIVE_BUFFER_BYTES = 64 * 1024
# Classic BPF program that drops TCP SYN segments and accepts all others: load the TCP
# flags, test SYN, return 0 or the whole packet. Python's socket module has no constant
# for the Linux option that attaches it.
SO_ATTACH_FILTER = 26
DROP_SYN_FILTER = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0x7FFFFFFF),
)


class BoundedResponseHandler(ResponseHandler):
    """Close a connection whose response is invalid, too large or not its last bytes.

    Bytes are counted as they arrive, so that every part of a response is bounded. A
    duplicate response may arrive late: a connection with surplus bytes is not reused,
    since the next request would take them for its own response.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.received_bytes = 0
        self.byte_limit = MAX_HEAD_BYTES
        self.awaiting_response = False
        self.response_body: StreamReader | None = None
        self.interim_responses = 0
        self.is_chunked = False
        self.head_bytes = 0
        self.unparsed = b""
        self.requested_at = 0.0

    def set_response_params(self, **params: Any) -> None:
        """Reset the counters for the response to a new request."""
        self.received_bytes = 0
        self.byte_limit = MAX_HEAD_BYTES
        self.awaiting_response = True
        self.response_body = None
        self.interim_responses = 0
        self.is_chunked = False
        self.head_bytes = 0
        self.unparsed = b""
        self.requested_at = self._loop.time()
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Count and parse received bytes; close the connection on surplus ones."""
        # The library calls this without data when it resumes reading.
        if data and not self.awaiting_response:
            # The previous response is complete, and its caller may still be reading it.
            self._abort()
            return
        data, self.unparsed = self.unparsed + data, b""
        position = 0
        while True:
            piece = data[position : position + PIECE_BYTES]
            position += len(piece)
            self._parse(piece)
            if position == len(data) or self._is_closing():
                return
            if not self.awaiting_response:
                self._abort()
                return
            if self._reading_paused:
                self.unparsed = data[position:]
                return

    def _parse(self, data: bytes) -> None:
        self.received_bytes += len(data)
        super().data_received(data)
        if self.received_bytes > self.byte_limit:
            self._fail_response(f"the response has more than {self.byte_limit} bytes")
        elif self.interim_responses > MAX_INTERIM_RESPONSES:
            self._fail_response("the response has too many interim responses")
        elif self.is_chunked and self.response_body is not None:
            self._check_framing(self.response_body)

    def _check_framing(self, body: StreamReader) -> None:
        framing_bytes = self.received_bytes - self.head_bytes - body.total_bytes
        allowed_bytes = (
            MAX_FRAMING_BYTES
            + body.total_bytes * MAX_FRAMING_SHARE
            + (self._loop.time() - self.requested_at) * MAX_FRAMING_BYTES_PER_S
        )
        if framing_bytes > allowed_bytes:
            self._fail_response(f"{framing_bytes} bytes are not part of the body")

    def _is_closing(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Process the head of a response."""
        message, payload = data
        if not self.awaiting_response:
            self.force_close()
            return
        if message.code in FINAL_STATUSES:
            self.byte_limit = MAX_RESPONSE_BYTES
            self.response_body = payload
            length = parse_int(message.headers.get("Content-Length"))
            if length is not None and length > MAX_RESPONSE_BYTES:
                super().feed_data(data, size)
                self._fail_response(f"the response announces {length} bytes")
                return
            self.is_chunked = message.chunked
            self.head_bytes = self.received_bytes
            payload.on_eof(self._on_response_end)
        elif message.code in INTERIM_STATUSES and message.code != SWITCHING_PROTOCOLS:
            self.interim_responses += 1
        else:
            self._reject_status(message.code)
            return
        super().feed_data(data, size)

    def _reject_status(self, status: int) -> None:
        """Fail a response as one that cannot be parsed."""
        reason = f"{status:03} is not the status of an HTTP response"
        self.set_exception(HttpProcessingError(message=reason))
        self._abort()

    def _on_response_end(self) -> None:
        self.awaiting_response = False

    def _fail_response(self, reason: str) -> None:
        error = aiohttp.ClientPayloadError(reason)
        if self.response_body is not None:
            self.response_body.set_exception(error)
        self.set_exception(error)
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class BoundedResponseConnector(aiohttp.TCPConnector):
    """Open connections that use BoundedResponseHandler.

    The library has no public option for the protocol class, so a private attribute is
    set; test_endless_answers fails if that stops working.
    """

    handler: type[BoundedResponseHandler] = BoundedResponseHandler

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = self._new_handler
        self._factory = factory

    def _new_handler(self) -> BoundedResponseHandler:
        record_connection()
        return self.handler(loop=self._loop)


class RenewableSession:
    """Own a client session that can be replaced while calls are in progress.

    When the open connections to a server go silent, each idle one costs the next call
    its time-out. A renewed session uses none of them.
    """

    def __init__(self) -> None:
        self.current: aiohttp.ClientSession | None = None
        self._calls: Counter[aiohttp.ClientSession] = Counter()

    @asynccontextmanager
    async def use(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Provide the current session for a call; renew it if the call times out."""
        if self.current is None:
            self.current = new_session()
        session = self.current
        self._calls[session] += 1
        try:
            yield session
        except TimeoutError:
            if session is self.current:
                self.current = None
            raise
        finally:
            self._calls[session] -= 1
            if not self._calls[session]:
                del self._calls[session]
                if session is not self.current:
                    await session.close()

    async def close(self) -> None:
        """Close all connections."""
        sessions = {*self._calls, *([self.current] if self.current else [])}
        self.current = None
        await asyncio.gather(*(session.close() for session in sessions))


def new_session(
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    resend: bool = True,
    small_buffers: bool = False,
    connector_type: type[BoundedResponseConnector] = BoundedResponseConnector,
) -> aiohttp.ClientSession:
    """Return a client session that passes bodies on unchanged.

    :param resend: whether a GET, PUT or DELETE may be sent a second time after its
        connection, which had been used before, ended without a response
    :param small_buffers: whether to hold little of what servers send unasked for
    """
    read_buffer_bytes = SMALL_READ_BUFFER_BYTES if small_buffers else READ_BUFFER_BYTES
    connector = connector_type(
        limit=0,
        keepalive_timeout=idle_timeout_s,
        use_dns_cache=False,
        socket_factory=functools.partial(_create_socket, small_buffers),
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        read_bufsize=read_buffer_bytes,
    )
    # The library has no public option for this; test_connections fails if the private
    # one stops working.
    session._retry_connection = resend
    return session


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of a response, even if it was released already.

    The library releases a connection as soon as the body is complete and has no public
    way back to it; test_foreign_answers fails if the private one stops working.
    """
    response.close()
    protocol = response._protocol
    if protocol is not None:
        protocol.close()


def refuse_new_connections(listener: socket.socket) -> None:
    """Make a listening socket drop new connections and keep those already begun.

    Closing the socket instead would reset connections whose requests were already sent.
    """
    instructions = b"".join(
        struct.pack("HBBI", *instruction) for instruction in DROP_SYN_FILTER
    )
    buffer = ctypes.create_string_buffer(instructions, len(instructions))
    program = struct.pack("HL", len(DROP_SYN_FILTER), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _create_socket(small_buffers: bool, address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    if small_buffers:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setblocking(False)
    return sock
