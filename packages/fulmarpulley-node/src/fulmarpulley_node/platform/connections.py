"""Open connections that notice when the other side falls silent or never ends."""

import asyncio
import ctypes
import functools
import socket
import struct
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

# A connection whose bytes are not acknowledged for this long is given up.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1.0
# Workers close idle connections after ten seconds; a shorter time here means that a
# request seldom meets a connection that is being closed.
IDLE_TIMEOUT_S = 9.0
# Answers of workers take some KB, streams some hundred, and pages of the store up to
# 2 MB. A node with 128 MB survives several answers of this size at a time.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Interim answers and the head; the HTTP library limits single lines and fields only.
MAX_HEAD_BYTES = 128 * 1024
# Answers below this status are interim ones.
MIN_FINAL_STATUS = 200
# Packet filter that drops segments which begin a connection and takes all others:
# load the flags of TCP, test SYN, return nothing or everything. Python's socket module
# does not name the option of Linux that attaches it.
SO_ATTACH_FILTER = 26
DROP_SYN_FILTER = (
    (0x30, 0, 0, 13),
    (0x45, 0, 1, 0x02),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0x7FFFFFFF),
)


class BoundedResponseHandler(ResponseHandler):
    """Close a connection whose answer never ends, or that sends more than an answer.

    Bytes are counted as they arrive, so that no part of an answer can be endless. A
    second copy of an answer may come late: a connection with surplus bytes is not used
    again, since the next caller would take them for its own answer.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.received_bytes = 0
        self.byte_limit = MAX_HEAD_BYTES
        self.awaiting_response = False
        self.response_body: StreamReader | None = None

    def set_response_params(self, **params: Any) -> None:
        """Begin to await the answer to a request."""
        self.received_bytes = 0
        self.byte_limit = MAX_HEAD_BYTES
        self.awaiting_response = True
        self.response_body = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Take bytes of an answer."""
        # The library calls this without data when it resumes to read.
        if data and not self.awaiting_response:
            # The answer before is whole, and its caller may still be reading it.
            self._abort()
            return
        self.received_bytes += len(data)
        super().data_received(data)
        if self.received_bytes > self.byte_limit:
            self._fail_response(f"the answer has more than {self.byte_limit} bytes")

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take the head of an answer."""
        message, payload = data
        if not self.awaiting_response:
            self.force_close()
            return
        if message.code >= MIN_FINAL_STATUS:
            self.byte_limit = MAX_RESPONSE_BYTES
            self.response_body = payload
            payload.on_eof(self._on_response_end)
        super().feed_data(data, size)

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
    """Open connections with a protocol of our own.

    The library has no public way to choose it; test_endless_answers fails without.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        factory: Any = functools.partial(BoundedResponseHandler, loop=self._loop)
        self._factory = factory


def new_session(idle_timeout_s: float = IDLE_TIMEOUT_S) -> aiohttp.ClientSession:
    """Return a client session that sends bodies as they are."""
    connector = BoundedResponseConnector(
        limit=0,
        keepalive_timeout=idle_timeout_s,
        use_dns_cache=False,
        socket_factory=_create_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        read_bufsize=2**16,
    )


def refuse_new_connections(listener: socket.socket) -> None:
    """Let a listening socket take no more connections but those that have begun.

    Closing it at once would reset connections whose requests were already sent.
    """
    instructions = b"".join(
        struct.pack("HBBI", *instruction) for instruction in DROP_SYN_FILTER
    )
    buffer = ctypes.create_string_buffer(instructions, len(instructions))
    program = struct.pack("HL", len(DROP_SYN_FILTER), ctypes.addressof(buffer))
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _create_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setblocking(False)
    return sock
