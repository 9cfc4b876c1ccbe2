"""Watch the store topics that operators, trainers and workers publish to."""

import asyncio
import ipaddress
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from aiomisc import Service
from result import Err, Ok, Result

from fulmarpulley_core.ids import (
    DataCentre,
    ModelName,
    ServiceName,
    UpstreamId,
    Version,
)
from fulmarpulley_core.registry import Registry
from fulmarpulley_core.rollout.upstreams import ListedState, ListedUpstream
from fulmarpulley_schema.codec import from_json

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from ..rollout.clock import elapsed_s
from ..rollout.crash_reports import CRASHES_TOPIC
from ..rollout.interfaces import (
    DirectoryListener,
    KeyedRecordHandler,
    StoreFailure,
    TopicListener,
)
from ..rollout.metrics import RolloutMetrics, labels
from . import wire
from .config_messages import to_topology
from .headers import parse_int
from .scaling_messages import is_spot, leaves_ms
from .store import StoreClient, keyed_topic

OPERATOR_TOPIC = "keyed.op"
SERVER_TOPIC = "keyed.servers"
# A long poll of this length detects a silent connection soon enough to meet the time
# limits for applying a configuration and for draining workers.
LONG_POLL_S = 0.5
# A read of crashes on a silent connection also ends within the shortest time in which
# nodes must learn of them.
CRASH_LONG_POLL_S = 1.0
RETRY_S = 0.1
# Workers rewrite their entries continuously. The entries of one interval are read
# together, so that the node's calls and wake-ups do not grow with the number of
# workers. The interval is a tenth of the shortest time limit for draining workers.
BATCH_INTERVAL_S = 0.25
MAX_LOGGED_ERROR_LENGTH = 200
MAX_PORT = 65535

KeyHandler = Callable[[DirectoryListener, str, bytes], None]
key_handlers: Registry[KeyHandler] = Registry("published key")


class TopicWatcher(Service):
    """Read the records of operators, workers and other nodes and pass them on."""

    def __init__(
        self,
        store: StoreClient,
        listener: DirectoryListener,
        crashes: KeyedRecordHandler,
        metrics: RolloutMetrics,
    ) -> None:
        super().__init__()
        self.store = store
        self.listener = listener
        self.crashes = crashes
        self.metrics = metrics
        self.tasks = BackgroundTasks()

    async def start(self) -> None:
        """Start tailing the topics."""
        crash_tail = TopicTail(
            self.store,
            keyed_topic(CRASHES_TOPIC),
            CrashRecordHandler(self),
            self.metrics,
            long_poll_s=CRASH_LONG_POLL_S,
        )
        operator_tail = TopicTail(
            self.store, OPERATOR_TOPIC, OperatorRecordHandler(self), self.metrics
        )
        server_tail = TopicTail(
            self.store,
            SERVER_TOPIC,
            ServerRecordHandler(self),
            self.metrics,
            BATCH_INTERVAL_S,
        )
        self.tasks.supervise(crash_tail.run)
        self.tasks.supervise(operator_tail.run)
        self.tasks.supervise(server_tail.run)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop tailing the topics."""
        await self.tasks.stop()


class RecordHandler(Protocol):
    """Handle the records of a keyed topic."""

    @property
    def listener(self) -> TopicListener:
        """Return the listener that is told of outages of the topic."""

    def handle_record(self, key: str, value: bytes | None) -> None:
        """Handle a record; None stands for a deleted key."""

    def handle_snapshot(self, items: list[wire.KeyedItem]) -> None:
        """Handle a listing of the newest record of each key."""

    def handle_end(self, read_at_s: float) -> None:
        """Handle that all records written before a time have been handled.

        :param read_at_s: seconds of the clock that counts suspended time
        """


class OperatorRecordHandler:
    """Pass configurations and announced weight versions to the listener."""

    def __init__(self, watcher: TopicWatcher) -> None:
        self.listener = watcher.listener

    def handle_record(self, key: str, value: bytes | None) -> None:
        """Handle a record; ignore deleted keys, since versions only increase."""
        kind = key.split("/", maxsplit=1)[0]
        if value is None or kind not in key_handlers:
            return
        key_handlers.get(kind)(self.listener, key, value)

    def handle_snapshot(self, items: list[wire.KeyedItem]) -> None:
        """Handle a listing of the newest record of each key."""
        for item in items:
            self.handle_record(item.key, item.value)

    def handle_end(self, read_at_s: float) -> None:
        """Record that the node knows all configurations written before a time."""
        self.listener.operator_records_read(read_at_s)


class ServerRecordHandler:
    """Pass the entries of workers to the listener."""

    def __init__(self, watcher: TopicWatcher) -> None:
        self.listener = watcher.listener

    def handle_record(self, key: str, value: bytes | None) -> None:
        """Handle an entry; remove the worker if the entry cannot be decoded."""
        entry = None if value is None else decode_upstream(key, value)
        if entry is None:
            self.listener.upstream_removed(UpstreamId(key))
        else:
            self.listener.upstream_put(entry)

    def handle_snapshot(self, items: list[wire.KeyedItem]) -> None:
        """Handle the entries of all workers."""
        entries = [decode_upstream(item.key, item.value) for item in items]
        self.listener.upstreams_replaced([e for e in entries if e is not None])

    def handle_end(self, read_at_s: float) -> None:
        """Do nothing: entries of workers are valid until they are changed."""


class CrashRecordHandler:
    """Pass what nodes share about crashes of upstreams on."""

    def __init__(self, watcher: TopicWatcher) -> None:
        self.listener = watcher.crashes

    def handle_record(self, key: str, value: bytes | None) -> None:
        """Handle a record."""
        self.listener.handle_record(key, value)

    def handle_snapshot(self, items: list[wire.KeyedItem]) -> None:
        """Handle a listing in the order in which its records were written."""
        for item in sorted(items, key=lambda item: item.offset):
            self.handle_record(item.key, item.value)

    def handle_end(self, read_at_s: float) -> None:
        """Do nothing: crashes are reported as they are read."""


class TopicTail:
    """List a keyed topic, then read the records that follow.

    `batch_interval_s` is the pause after each read that reached the end of the topic.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        handler: RecordHandler,
        metrics: RolloutMetrics,
        batch_interval_s: float = 0.0,
        long_poll_s: float = LONG_POLL_S,
    ) -> None:
        self.store = store
        self.topic = topic
        self.handler = handler
        self.metrics = metrics
        self.batch_interval_s = batch_interval_s
        self.long_poll_s = long_poll_s
        self.offset: int | None = None
        self.last_contact_at = time.monotonic()
        self.contact_lost = False
        # Whether the store has more records than the last read returned.
        self.has_backlog = True

    async def run(self) -> None:
        """Tail the topic until cancelled."""
        # After an exception, records of the last read may not have been handled.
        self.offset = None
        while True:
            started_at_s = elapsed_s()
            result = await (self._list() if self.offset is None else self._read())
            if isinstance(result, Ok):
                self._record_contact()
                is_listing = self.offset is None
                result.ok_value()
                if is_listing and self.offset is not None:
                    # A listing holds all records written before it began.
                    self.handler.handle_end(started_at_s)
                elif not self.has_backlog:
                    self.handler.handle_end(started_at_s)
                    await asyncio.sleep(self.batch_interval_s)
                continue
            if not self.contact_lost:
                self.contact_lost = True
                self.handler.listener.store_lost(self.topic, result.err_value.value)
            await asyncio.sleep(RETRY_S)

    async def _list(self) -> Result[Callable[[], None], StoreFailure]:
        result = await self.store.newest(self.topic)
        if isinstance(result, Err):
            return result
        listing = result.ok_value

        def apply() -> None:
            self.offset = listing.end
            self.handler.handle_snapshot(listing.items)

        return Ok(apply)

    async def _read(self) -> Result[Callable[[], None], StoreFailure]:
        start = self.offset or 0
        # After an outage, an answer at once shows sooner that the records are current.
        wait_s = 0.0 if self.contact_lost else self.long_poll_s
        result = await self.store.read(self.topic, 0, start, wait_s)
        if isinstance(result, Err):
            return result
        page = result.ok_value

        def apply() -> None:
            if page.start > start or page.end < start:
                # Records were deleted between the two reads; list the topic again.
                self.offset = None
                self.has_backlog = True
                return
            self.offset = start + len(page.records)
            self.has_backlog = self.offset < page.end
            for record in page.records:
                self._dispatch(record)

        return Ok(apply)

    def _dispatch(self, record: bytes) -> None:
        size = record[0] if record else 0
        key = record[1 : 1 + size].decode(errors="replace")
        value = record[1 + size :]
        try:
            self.handler.handle_record(key, value or None)
        except Exception as error:
            # One record must not keep the node from reading those after it.
            text = _shorten(error)
            log_event("record_failed", topic=self.topic, key=key, error=text)

    def _record_contact(self) -> None:
        now = time.monotonic()
        self.metrics.topic_read_at.set(labels(topic=self.topic), time.time())
        if self.contact_lost:
            self.contact_lost = False
            outage_s = now - self.last_contact_at
            self.handler.listener.store_regained(self.topic, outage_s)
        self.last_contact_at = now


@key_handlers.register("config")
def handle_config(listener: DirectoryListener, key: str, value: bytes) -> None:
    """Apply a configuration; keep the previous one if it cannot be decoded.

    Texts of the decoder's errors name types and positions, never values.
    """
    try:
        topology = to_topology(from_json(value, wire.ConfigEntry))
    except (msgspec.DecodeError, ValueError) as error:
        log_event("config_unreadable", key=key, error=_shorten(error))
        return
    listener.topology_changed(topology)


@key_handlers.register("version")
def handle_version(listener: DirectoryListener, key: str, value: bytes) -> None:
    """Apply a weight version that a trainer announced."""
    try:
        entry = from_json(value, wire.VersionEntry)
    except msgspec.DecodeError as error:
        log_event("version_unreadable", key=key, error=_shorten(error))
        return
    listener.version_announced(ModelName(entry.model), Version(entry.version))


def decode_upstream(key: str, value: bytes) -> ListedUpstream | None:
    """Convert the entry of a worker, or return None if it cannot be decoded."""
    try:
        entry = from_json(value, wire.ServerEntry)
        state = ListedState(entry.state)
        check_address(entry.address)
    except (msgspec.DecodeError, ValueError) as error:
        log_event("upstream_entry_unreadable", upstream=key, error=_shorten(error))
        return None
    return ListedUpstream(
        upstream_id=UpstreamId(key),
        service=ServiceName(entry.service),
        address=entry.address,
        data_centre=DataCentre(entry.zone),
        state=state,
        slots=entry.slots,
        started_ms=entry.started_ms,
        versions={ModelName(m.name): Version(m.version) for m in entry.models},
        spot=is_spot(entry),
        leaves_ms=leaves_ms(entry),
    )


def _shorten(error: Exception) -> str:
    return repr(error)[:MAX_LOGGED_ERROR_LENGTH]


def check_address(address: str) -> None:
    """Raise ValueError unless an address is an IPv4 address and a port."""
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    number = parse_int(port)
    if number is None or not 0 < number <= MAX_PORT:
        raise ValueError(f"address {address!r} has no valid port")
