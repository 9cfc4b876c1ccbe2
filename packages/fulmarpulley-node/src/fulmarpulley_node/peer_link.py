"""Maintain a connection to another node and detect when it stops responding."""

import asyncio
from collections.abc import Iterable

import msgspec
import zmq
import zmq.asyncio

from fulmarpulley_schema.generated.peer import MessageKind
from fulmarpulley_schema.generated.settings import PeerKeys

# After PING_AFTER_S without a reply the link asks the peer whether the call is still
# in progress. If nothing is received for SILENCE_TIMEOUT_S while calls are waiting,
# the connection is replaced.
PING_AFTER_S = 1.0
SILENCE_TIMEOUT_S = 2.0
UNUSED_TIMEOUT_S = 60.0
PING_ID = b"ping"
MAX_MESSAGE_BYTES = 8 * 1024 * 1024
RECONNECT_MS = 100
RECONNECT_MAX_MS = 1000


class CallFailure(Exception):
    """Report a failed call, whether it was sent and whether the peer replied."""

    def __init__(self, sent: bool, replied: bool = False) -> None:
        super().__init__(f"sent={sent} replied={replied}")
        self.sent = sent
        self.replied = replied


class OutstandingCall(msgspec.Struct):
    """Hold a call that awaits its reply; `sent_at` is event loop time."""

    reply: asyncio.Future[bytes]
    sent_at: float


def new_socket(
    context: zmq.asyncio.Context, kind: int, keys: PeerKeys | None = None
) -> zmq.asyncio.Socket:
    """Open a socket with the limits and keys that all peer sockets share."""
    socket = context.socket(kind)
    if keys is not None:
        socket.setsockopt(zmq.CURVE_PUBLICKEY, keys.public.encode())
        socket.setsockopt(zmq.CURVE_SECRETKEY, keys.secret.encode())
        if kind == zmq.ROUTER:
            socket.setsockopt(zmq.CURVE_SERVER, 1)
        else:
            socket.setsockopt(zmq.CURVE_SERVERKEY, keys.public.encode())
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    # Without a connection, send blocks here. A ZeroMQ queue would deliver the message
    # long after its call timed out.
    socket.setsockopt(zmq.IMMEDIATE, 1)
    socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    return socket


class PeerLink:
    """Own the DEALER socket to one address and the calls that await a reply."""

    def __init__(
        self, context: zmq.asyncio.Context, address: str, keys: PeerKeys | None = None
    ) -> None:
        self.context = context
        self.keys = keys
        self.address = address
        self.loop = asyncio.get_running_loop()
        self.calls: dict[bytes, OutstandingCall] = {}
        self.last_used_at = self.loop.time()
        self.last_received_at = self.last_used_at
        self._connect()

    async def send(self, frames: list[bytes], timeout_s: float) -> bool:
        """Send frames; return False if no connection accepted them in time."""
        self.last_used_at = self.loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                await self.socket.send_multipart(frames)
        except (TimeoutError, zmq.ZMQError, asyncio.CancelledError):
            if (task := asyncio.current_task()) is not None and task.cancelling():
                raise
            return False
        return True

    async def call(
        self, call_id: bytes, frames: list[bytes], deadline_s: float
    ) -> bytes:
        """Send a call and return the payload of its reply, or raise CallFailure."""
        started = self.loop.time()
        if not await self.send(frames, min(deadline_s, SILENCE_TIMEOUT_S)):
            raise CallFailure(sent=False)
        if not self.calls:
            self.last_received_at = self.loop.time()
        reply: asyncio.Future[bytes] = self.loop.create_future()
        self.calls[call_id] = OutstandingCall(reply, self.loop.time())
        try:
            async with asyncio.timeout_at(started + deadline_s):
                return await reply
        except TimeoutError:
            raise CallFailure(sent=True) from None
        finally:
            self.calls.pop(call_id, None)

    async def ping_for_waiting_calls(self) -> None:
        """Ask the peer which of the waiting calls are not in progress there."""
        now = self.loop.time()
        waiting = [
            call_id
            for call_id, call in self.calls.items()
            if now - call.sent_at >= PING_AFTER_S
        ]
        if waiting:
            frames = [MessageKind.PING.value.encode(), PING_ID, b" ".join(waiting)]
            await self.send(frames, SILENCE_TIMEOUT_S - PING_AFTER_S)

    def replace_if_silent(self) -> bool:
        """Replace the connection if calls are waiting and nothing was received."""
        if (
            not self.calls
            or self.loop.time() - self.last_received_at < SILENCE_TIMEOUT_S
        ):
            return False
        self._disconnect()
        self._connect()
        return True

    def is_unused(self) -> bool:
        """Tell whether the link was unused for longer than UNUSED_TIMEOUT_S."""
        return (
            not self.calls and self.loop.time() - self.last_used_at > UNUSED_TIMEOUT_S
        )

    def close(self) -> None:
        """Close the connection and fail the waiting calls."""
        self._disconnect()

    def _connect(self) -> None:
        self.socket = new_socket(self.context, zmq.DEALER, self.keys)
        self.socket.connect(f"tcp://{self.address}")
        self.last_received_at = self.loop.time()
        self.reader = self.loop.create_task(self._read(self.socket))

    def _disconnect(self) -> None:
        self.reader.cancel()
        self.socket.close(linger=0)
        self._fail_calls(list(self.calls))

    def _fail_calls(self, call_ids: Iterable[bytes]) -> None:
        for call_id in call_ids:
            call = self.calls.pop(call_id, None)
            if call is not None and not call.reply.done():
                call.reply.set_exception(CallFailure(sent=True))

    async def _read(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            kind, call_id, payload = await socket.recv_multipart()
            self.last_received_at = self.loop.time()
            if call_id == PING_ID:
                # The peer has restarted, or its reply was lost.
                self._fail_calls(payload.split())
                continue
            call = self.calls.get(call_id)
            if call is None or call.reply.done():
                continue
            if kind == MessageKind.REPLY.value.encode():
                call.reply.set_result(payload)
            else:
                call.reply.set_exception(CallFailure(sent=True, replied=True))
