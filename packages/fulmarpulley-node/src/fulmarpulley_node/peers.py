"""Exchange messages with other nodes over ZeroMQ."""

import asyncio
import functools
import itertools
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, TypeVar

import msgspec
import zmq
import zmq.asyncio
from aiomisc import Service
from result import Err, Ok, Result

from fulmarpulley_core.ids import NodeId
from fulmarpulley_schema.codec import from_msgpack, to_msgpack
from fulmarpulley_schema.generated.peer import MessageKind
from fulmarpulley_schema.generated.settings import NodeSettings

from .background_tasks import BackgroundTasks
from .observe.events import log_event
from .observe.metrics import Metrics
from .peer_link import CallFailure, PeerLink, new_socket

T = TypeVar("T", bound=msgspec.Struct)
Handler = Callable[[Any], Awaitable[msgspec.Struct | None]]
AddressLookup = Callable[[NodeId], str | None]

LINK_CHECK_INTERVAL_S = 0.5
PING = MessageKind.PING.value.encode()
REPLY = MessageKind.REPLY.value.encode()


class PeerError(StrEnum):
    """Classify failed calls by whether the other node may have executed them."""

    NOT_SENT = "not_sent"
    NO_REPLY = "no_reply"
    FAILED = "failed"


class HandlerEntry(msgspec.Struct, frozen=True):
    """Hold the handler of a message kind and the type of its payload."""

    payload: type[msgspec.Struct]
    handler: Handler


class PeerLinks(Service):
    """Own the sockets to and from other nodes."""

    def __init__(self, settings: NodeSettings, metrics: Metrics) -> None:
        super().__init__()
        self.settings = settings
        self.metrics = metrics
        self.address_of: AddressLookup = lambda _node: None
        self.handlers: dict[MessageKind, HandlerEntry] = {}
        self.links: dict[str, PeerLink] = {}
        self.call_ids = itertools.count(1)
        self.zmq_context: zmq.asyncio.Context | None = None
        self.router: zmq.asyncio.Socket | None = None
        self.in_progress: set[tuple[bytes, bytes]] = set()
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        """Bind the socket that receives messages of other nodes."""
        listen = self.settings.peer
        self.zmq_context = zmq.asyncio.Context()
        self.router = new_socket(self.zmq_context, zmq.ROUTER, self.settings.peer_keys)
        self.router.bind(f"tcp://{listen.host}:{listen.port}")
        self.tasks.supervise(functools.partial(self._receive_messages, self.router))
        self.tasks.supervise(self._check_links)

    async def stop(self, exception: Exception | None = None) -> None:
        """Close all sockets and the context."""
        await self.tasks.stop()
        for link in self.links.values():
            link.close()
        if self.router is not None:
            self.router.close(linger=0)
        if self.zmq_context is not None:
            self.zmq_context.term()

    def register_handler(
        self, kind: MessageKind, payload: type[msgspec.Struct], handler: Handler
    ) -> None:
        """Register the handler of a message kind."""
        self.handlers[kind] = HandlerEntry(payload, handler)

    async def call(
        self,
        node: NodeId,
        kind: MessageKind,
        payload: msgspec.Struct,
        reply_type: type[T],
        deadline_s: float,
    ) -> Result[T, PeerError]:
        """Call a handler on another node, or directly if the node is this one."""
        if node == self.settings.node_id:
            return await self._call_local_handler(kind, payload)
        address = self.address_of(node)
        if address is None:
            return Err(PeerError.NOT_SENT)
        result = await self._call_remote(address, kind, payload, deadline_s)
        self.metrics.peer_calls.inc(
            {"kind": kind.value, "outcome": "ok" if result.is_ok() else "failed"}
        )
        if isinstance(result, Err):
            return Err(result.err_value)
        try:
            return Ok(from_msgpack(result.ok_value, reply_type))
        except msgspec.DecodeError:
            return Err(PeerError.FAILED)

    async def send(
        self, address: str, kind: MessageKind, payload: msgspec.Struct
    ) -> None:
        """Send a message without a reply; delivery is not guaranteed."""
        frames = [kind.value.encode(), b"", to_msgpack(payload)]
        await self._link_to(address).send(frames, LINK_CHECK_INTERVAL_S)

    async def _call_local_handler(
        self, kind: MessageKind, payload: msgspec.Struct
    ) -> Result[Any, PeerError]:
        entry = self.handlers.get(kind)
        if entry is None:
            return Err(PeerError.FAILED)
        return Ok(await entry.handler(payload))

    async def _call_remote(
        self,
        address: str,
        kind: MessageKind,
        payload: msgspec.Struct,
        deadline_s: float,
    ) -> Result[bytes, PeerError]:
        call_id = str(next(self.call_ids)).encode()
        frames = [kind.value.encode(), call_id, to_msgpack(payload)]
        try:
            return Ok(await self._link_to(address).call(call_id, frames, deadline_s))
        except CallFailure as failure:
            if failure.sent:
                return Err(PeerError.FAILED if failure.replied else PeerError.NO_REPLY)
            return Err(PeerError.NOT_SENT)

    def _link_to(self, address: str) -> PeerLink:
        link = self.links.get(address)
        if link is None:
            if self.zmq_context is None:
                raise RuntimeError("peer links have not been started")
            keys = self.settings.peer_keys
            link = PeerLink(self.zmq_context, address, keys)
            self.links[address] = link
        return link

    async def _check_links(self) -> None:
        while True:
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
            for link in list(self.links.values()):
                if link.replace_if_silent():
                    log_event("peer_link_replaced", address=link.address)
                else:
                    self.tasks.spawn(link.ping_for_waiting_calls())
                if link.is_unused():
                    self.links.pop(link.address).close()

    async def _receive_messages(self, router: zmq.asyncio.Socket) -> None:
        while True:
            frames = await router.recv_multipart()
            if len(frames) != 4:
                continue
            identity, kind, call_id, payload = frames
            if kind == PING:
                not_in_progress = self._calls_not_in_progress(identity, payload.split())
                await router.send_multipart([identity, REPLY, call_id, not_in_progress])
            else:
                self.in_progress.add((identity, call_id))
                self.tasks.spawn(self._handle_and_reply(router, frames))

    def _calls_not_in_progress(self, identity: bytes, call_ids: list[bytes]) -> bytes:
        # The reply to a call is sent before the call leaves in_progress, hence before
        # the reply to a later ping. A call that is not in progress when the ping is
        # read will get no further reply.
        not_in_progress = [i for i in call_ids if (identity, i) not in self.in_progress]
        return b" ".join(not_in_progress)

    async def _handle_and_reply(
        self, router: zmq.asyncio.Socket, frames: list[bytes]
    ) -> None:
        identity, kind, call_id, payload = frames
        try:
            reply_kind, body = await self._run_handler(kind, payload)
            if call_id:
                message = [identity, reply_kind.value.encode(), call_id, body]
                await router.send_multipart(message)
        finally:
            self.in_progress.discard((identity, call_id))

    async def _run_handler(
        self, kind: bytes, payload: bytes
    ) -> tuple[MessageKind, bytes]:
        try:
            entry = self.handlers[MessageKind(kind.decode())]
            result = await entry.handler(from_msgpack(payload, entry.payload))
        except Exception as error:
            log_event(
                "peer_message_failed",
                kind=kind.decode(errors="replace"),
                error=error,
            )
            return MessageKind.FAILURE, b""
        return MessageKind.REPLY, to_msgpack(result) if result is not None else b""
