"""Call the platform's log store; no other module calls it."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from result import Err, Ok, Result

from fulmarpulley_schema.codec import from_json
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..observe.events import log_event
from ..rollout.interfaces import (
    KeyedValue,
    LogPage,
    Membership,
    PartitionOwner,
    StoreFailure,
)
from ..rollout.metrics import RolloutMetrics, labels
from .connections import RenewableSession
from .owner_rows import decode_owners
from .response_memory import ResponseMemory, read_body
from .wire import (
    AppendedReply,
    ExpiredReply,
    JoinReply,
    JoinRequest,
    KeyedItem,
    LeaveRequest,
    NewestReply,
)

T = TypeVar("T")
# The store answers within a few milliseconds, or within 0.5 s when it is slow.
CALL_TIMEOUT_S = 1.5
# A call that is sent while the store is down is never answered. Repeatable calls are
# therefore sent again at this interval, and the first response is used. Earlier calls
# continue, since the store may only be slow.
RESEND_INTERVAL_S = 0.5
MAX_PARALLEL_CALLS = 3
LENGTH_PREFIX_BYTES = 4
OFFSET_BYTES = 8
# Bounds a listing that keeps growing while it is read.
MAX_PAGES = 1000


class StoreResponse(NamedTuple):
    """Hold the status and body of a response."""

    status: int
    body: bytes


class Listing(NamedTuple):
    """Hold the newest record of each key and the offset to continue from."""

    items: list[KeyedItem]
    end: int


class StoreClient:
    """Own the connections to the store."""

    def __init__(self, settings: RolloutSettings, metrics: RolloutMetrics) -> None:
        self.base = f"http://{settings.log.address}"
        self.metrics = metrics
        # Consecutive calls that ended without a response.
        self.unanswered_calls = 0
        self.session = RenewableSession()
        # Apart from that of upstreams, whose responses must not hold up the store's.
        self.memory = ResponseMemory()

    async def append(
        self, topic: str, partition: int, records: Sequence[bytes]
    ) -> Result[int, StoreFailure]:
        """Append records atomically and return the offset of the first."""
        path = f"/-/log-append?Topic={topic}&part={partition}"
        body = b"".join(frame(record) for record in records)
        result = await self._call("append", "POST", path, body)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status in (409, 412):
            return Err(StoreFailure.CONFLICT)
        decoded = self._decode("append", response, AppendedReply)
        return decoded.map(lambda reply: reply.first_offset)

    async def put(
        self, topic: str, values: Sequence[KeyedValue]
    ) -> Result[int, StoreFailure]:
        """Write values of keys and return the offset of the first."""
        records = [encode_keyed(key, value) for key, value in values]
        return await self.append(keyed_topic(topic), 0, records)

    async def read(
        self,
        topic: str,
        partition: int,
        start: int,
        wait_s: float,
        max_bytes: int = 0,
    ) -> Result[LogPage, StoreFailure]:
        """Read a page from an offset on, waiting up to `wait_s` for a record."""
        if self.unanswered_calls:
            wait_s = 0.0
        wait_ms = int(wait_s * 1000)
        path = f"/-/log-read?Topic={topic}&part={partition}&From={start}"
        if wait_ms:
            path += f"&WaitMs={wait_ms}"
        if max_bytes:
            path += f"&MaxKb={-(-max_bytes // 1024)}"
        result = await self._call_with_resends("read", "GET", path, wait_s=wait_s)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == 410:
            expired = _decode(response, ExpiredReply)
            if isinstance(expired, Err):
                return expired
            # The end is unknown; one past the start makes the reader continue.
            first_offset = expired.ok_value.first_offset
            return Ok(LogPage(first_offset, [], first_offset + 1, first_offset))
        if response.status != 200:
            return Err(self._log_unexpected("read", response))
        return _decode_page(response.body, start)

    async def newest(self, topic: str) -> Result[Listing, StoreFailure]:
        """List the newest record of each key."""
        items: list[KeyedItem] = []
        end: int | None = None
        path = f"/-/log-newest?Topic={topic}&part=0"
        after = ""
        for _ in range(MAX_PAGES):
            result = await self._call_with_resends("newest", "GET", path + after)
            if isinstance(result, Err):
                return result
            page = self._decode("newest", result.ok_value, NewestReply)
            if isinstance(page, Err):
                return page
            reply = page.ok_value
            decoded = [_decode_item(item) for item in reply.items]
            page_items = [item for item in decoded if item is not None]
            items += page_items
            # The pages are not a snapshot: records that change during the listing come
            # after the end offset of the first page.
            end = reply.end if end is None else end
            if not reply.has_more or not page_items:
                break
            after = f"&After={quote(page_items[-1].key, safe='')}"
        return Ok(Listing(items, end or 0))

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Result[Membership, StoreFailure]:
        """Join a group, or renew a membership."""
        request = JoinRequest(group, member, [topic], int(ttl_s * 1000), generation)
        body = msgspec.json.encode(request)
        result = await self._call_with_resends(
            "join", "POST", "/-/log-join", body, json=True
        )
        if isinstance(result, Err):
            return result
        decoded = self._decode("join", result.ok_value, JoinReply)
        return decoded.map(
            lambda reply: Membership(
                reply.generation,
                frozenset(row[1] for row in reply.rows if row[0] == topic),
            )
        )

    async def leave(self, group: str, member: str) -> Result[None, StoreFailure]:
        """Leave a group."""
        body = msgspec.json.encode(LeaveRequest(group, member))
        result = await self._call("leave", "POST", "/-/log-leave", body, json=True)
        return result.map(lambda response: None)

    async def owners(
        self, group: str, topic: str
    ) -> Result[list[PartitionOwner], StoreFailure]:
        """List the partitions of a topic that members of a group own."""
        path = f"/-/log-owners?Group={quote(group, safe='')}"
        result = await self._call_with_resends("owners", "GET", path)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status != 200:
            return Err(self._log_unexpected("owners", response))
        return decode_owners(response.body, topic)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _call_with_resends(
        self,
        name: str,
        method: str,
        path: str,
        body: bytes | None = None,
        wait_s: float = 0.0,
        json: bool = False,
    ) -> Result[StoreResponse, StoreFailure]:
        """Make a repeatable call, with resends while the store does not respond."""
        timeout_s = CALL_TIMEOUT_S + wait_s
        if not self.unanswered_calls:
            return await self._call(name, method, path, body, timeout_s, json)
        calls: set[asyncio.Task[Result[StoreResponse, StoreFailure]]] = set()
        try:
            while True:
                if len(calls) < MAX_PARALLEL_CALLS:
                    call = self._call(name, method, path, body, timeout_s, json)
                    calls.add(asyncio.create_task(call))
                finished, _ = await asyncio.wait(
                    calls,
                    timeout=RESEND_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if finished:
                    return finished.pop().result()
        finally:
            for task in calls:
                task.cancel()

    async def _call(
        self,
        name: str,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
        json: bool = False,
    ) -> Result[StoreResponse, StoreFailure]:
        result = await self._send(method, path, body, timeout_s, json)
        answered = isinstance(result, Ok) or result.err_value is StoreFailure.REFUSED
        self.unanswered_calls = 0 if answered else self.unanswered_calls + 1
        outcome = result.err_value.value if isinstance(result, Err) else "ok"
        self.metrics.store_calls.inc(labels(call=name, outcome=outcome))
        return result

    async def _send(
        self, method: str, path: str, body: bytes | None, timeout_s: float, json: bool
    ) -> Result[StoreResponse, StoreFailure]:
        content_type = "application/json" if json else "application/octet-stream"
        headers = {"Content-Type": content_type} if body is not None else {}
        try:
            async with (
                self.session.use() as session,
                asyncio.timeout(timeout_s),
                session.request(
                    method,
                    self.base + path,
                    data=body,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                with self.memory.lease() as lease:
                    content = bytes(await read_body(response, lease))
                store_response = StoreResponse(response.status, content)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Err(StoreFailure.UNREACHABLE)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Err(StoreFailure.UNKNOWN)
        if store_response.status in (429, 503):
            return Err(StoreFailure.REFUSED)
        return Ok(store_response)

    def _decode(
        self, call: str, response: StoreResponse, message_type: type[T]
    ) -> Result[T, StoreFailure]:
        if response.status != 200:
            return Err(self._log_unexpected(call, response))
        return _decode(response, message_type)

    def _log_unexpected(self, call: str, response: StoreResponse) -> StoreFailure:
        text = response.body[:200].decode(errors="replace")
        log_event(
            "store_answer_unexpected", call=call, status=response.status, body=text
        )
        refused = 400 <= response.status < 500 or response.status == 507
        return StoreFailure.REFUSED if refused else StoreFailure.UNKNOWN


def keyed_topic(topic: str) -> str:
    """Return the store's name of a topic that keeps the newest value of each key."""
    return f"keyed.{topic}"


def encode_keyed(key: str, value: bytes) -> bytes:
    """Return the record that writes a value, or deletes the key if it is empty."""
    name = key.encode()
    return bytes([len(name)]) + name + value


def frame(record: bytes) -> bytes:
    """Return a record with a length prefix."""
    return len(record).to_bytes(LENGTH_PREFIX_BYTES, "big") + record


def unframe(data: bytes, position: int) -> list[bytes]:
    """Return the complete records in the data from a position on."""
    records = []
    while position + LENGTH_PREFIX_BYTES <= len(data):
        begin = position + LENGTH_PREFIX_BYTES
        position = begin + int.from_bytes(data[position:begin], "big")
        if position > len(data):
            break
        records.append(data[begin:position])
    return records


def _decode_page(body: bytes, start: int) -> Result[LogPage, StoreFailure]:
    if len(body) < 2 * OFFSET_BYTES:
        return Err(StoreFailure.UNKNOWN)
    end = int.from_bytes(body[:OFFSET_BYTES], "big")
    first = int.from_bytes(body[OFFSET_BYTES : 2 * OFFSET_BYTES], "big")
    records = unframe(body, 2 * OFFSET_BYTES)
    return Ok(LogPage(start, records, end, first))


def _decode_item(data: msgspec.Raw) -> KeyedItem | None:
    try:
        return from_json(bytes(data), KeyedItem)
    except msgspec.DecodeError as error:
        log_event("store_item_unreadable", error=str(error))
        return None


def _decode(response: StoreResponse, message_type: type[T]) -> Result[T, StoreFailure]:
    try:
        return Ok(from_json(response.body, message_type))
    except msgspec.DecodeError as error:
        log_event(
            "store_answer_unreadable", kind=message_type.__name__, error=str(error)
        )
        return Err(StoreFailure.UNKNOWN)
