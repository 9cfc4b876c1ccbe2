"""Share between nodes which requests crash upstreams, by records on the log."""

import asyncio
import contextlib
import hashlib
import random
from collections.abc import Callable, Iterable

from aiomisc import Service
from result import Err

from fulmarpulley_core.ids import RequestDigest
from fulmarpulley_core.rollout.crash_evidence import CRASH_LIFETIME_S, CrashEvidence
from fulmarpulley_core.rollout.crash_records import (
    CrashRecord,
    decode,
    encode,
    incarnation_in,
    requests_in,
)
from fulmarpulley_core.rollout.stated_limits import Incarnation
from fulmarpulley_schema.generated.crashes import CrashReport, RequestCompleted
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks, notify_all
from ..observe.events import log_event
from .clock import elapsed_s, unix_us
from .interfaces import KeyedLog, KeyedValue
from .metrics import RolloutMetrics, labels

CRASHES_TOPIC = "crashes"
US_PER_S = 1_000_000
RETRY_DELAY_S = 0.25
EXPIRY_INTERVAL_S = 5.0
# A request that comes again this soon after a crash under its like waits for the
# outcome of the retry, which shows whether it is the cause.
VERDICT_WAIT_S = 0.3
# Nodes that know a completion share it after a random delay, so that most of them see
# the record of another node first.
MAX_SHARING_DELAY_S = 0.05
# A completion is not shared again this soon.
SHARING_INTERVAL_S = 30.0
# Any node deletes expired records, after a random delay for the same reason.
MAX_DELETION_DELAY_S = 60.0
MAX_UNWRITTEN_RECORDS = 256
MAX_RECORDS_PER_WRITE = 64
# Bounds the memory for records that are still to be deleted.
MAX_KNOWN_KEYS = 8192
MAX_SHARED_COMPLETIONS = 1024


class CrashReports(Service):
    """Hold what this and other nodes know of crashes, and block their causes.

    What this node finds out counts at once. Without the log it goes by that alone.
    """

    def __init__(
        self, settings: RolloutSettings, log: KeyedLog, metrics: RolloutMetrics
    ) -> None:
        super().__init__()
        self.node_id = settings.node_id
        self.log = log
        self.metrics = metrics
        self.evidence = CrashEvidence()
        self.blocked: set[RequestDigest] = set()
        # Called after the set of blocked requests has changed.
        self.listeners: list[Callable[[], None]] = []
        self.tasks = BackgroundTasks()
        # Set and replaced whenever the evidence has changed.
        self._changed = asyncio.Event()
        self._unwritten: dict[str, bytes] = {}
        self._has_unwritten = asyncio.Event()
        # When to delete the records of the topic.
        self._deletion_due_s: dict[str, float] = {}
        self._shared_at_s: dict[RequestDigest, float] = {}

    async def start(self) -> None:
        """Start to write records and to forget old ones."""
        self.tasks.supervise(self._write)
        self.tasks.supervise(self._expire)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all tasks."""
        await self.tasks.stop()

    def is_blocked(self, request: RequestDigest) -> bool:
        """Tell whether a request must not be sent to any upstream."""
        return self.evidence.is_blocked(request)

    def blocked_for_s(self, request: RequestDigest) -> float:
        """Return how long a blocked request stays blocked."""
        return max(0.0, self.evidence.blocked_until_s(request) - elapsed_s())

    async def wait_for_verdict(self, request: RequestDigest) -> None:
        """Wait until a request that just shared a crash is blocked or cleared.

        It waits for a short time only, and not at all if it shared none.
        """
        while self.evidence.is_suspected(request) and not self.is_blocked(request):
            waited_until_s = self.evidence.last_crash_at_s(request) + VERDICT_WAIT_S
            remaining_s = waited_until_s - elapsed_s()
            if remaining_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()

    def report_crash(
        self, upstream: Incarnation, requests: Iterable[RequestDigest]
    ) -> None:
        """Record and share that an upstream crashed under requests of this node."""
        found = list(requests)
        self._update(self.evidence.record_crash(upstream, found, elapsed_s()))
        self._share(
            CrashReport(
                node_id=self.node_id,
                upstream=upstream.upstream_id,
                started_ms=upstream.started_ms,
                at_us=unix_us(),
                requests=[str(request) for request in found],
            )
        )
        for request in found:
            self._share_completion(request)

    def record_completion(self, request: RequestDigest) -> None:
        """Record that an upstream answered a request of this node."""
        affected = self.evidence.record_completion(request, elapsed_s())
        if affected:
            self._shared_at_s.pop(request, None)
            self._share_completion(request)
            self._update(affected)

    def handle_record(self, key: str, value: bytes | None) -> None:
        """Apply a record of the topic; None stands for a deleted one."""
        if value is None:
            self._deletion_due_s.pop(key, None)
            return
        delay_s = random.uniform(0.0, MAX_DELETION_DELAY_S)
        if len(self._deletion_due_s) < MAX_KNOWN_KEYS:
            self._deletion_due_s[key] = elapsed_s() + CRASH_LIFETIME_S + delay_s
        record = decode(value)
        if record is None:
            log_event("crash_record_unreadable", key=key)
            return
        age_s = max(0.0, (unix_us() - record.at_us) / US_PER_S)
        if age_s >= CRASH_LIFETIME_S:
            if key in self._deletion_due_s:
                self._deletion_due_s[key] = elapsed_s() + delay_s
            return
        at_s = elapsed_s() - age_s
        if isinstance(record, CrashReport):
            self._apply_report(record, at_s)
        else:
            request = RequestDigest(record.request)
            self._remember_sharing(request)
            self._update(self.evidence.record_completion(request, at_s))

    def store_lost(self, topic: str, reason: str) -> None:
        """Log that the topic cannot be read."""
        log_event("store_lost", topic=topic, reason=reason)

    def store_regained(self, topic: str, outage_s: float) -> None:
        """Log the end of an outage."""
        log_event("store_regained", topic=topic, outage_s=outage_s)

    def _apply_report(self, report: CrashReport, at_s: float) -> None:
        upstream, requests = incarnation_in(report), requests_in(report)
        if report.node_id != self.node_id:
            log_event(
                "crash_learned",
                upstream=report.upstream,
                reporter=report.node_id,
                requests=",".join(requests),
            )
            for request in requests:
                if self.evidence.completed_at_s(request) is not None:
                    self.tasks.spawn(self._share_completion_later(request))
        self._update(self.evidence.record_crash(upstream, requests, at_s))

    def _update(self, requests: set[RequestDigest]) -> None:
        """Announce which of these requests have become blocked or unblocked."""
        if requests:
            self._changed.set()
            self._changed = asyncio.Event()
        changed = False
        for request in requests:
            blocked = self.evidence.is_blocked(request)
            if blocked == (request in self.blocked):
                continue
            changed = True
            if blocked:
                self.blocked.add(request)
            else:
                self.blocked.remove(request)
            crashed = self.evidence.crashed_upstreams(request)
            log_event(
                "request_blocked" if blocked else "request_unblocked",
                digest=request,
                crashed=",".join(upstream.upstream_id for upstream in crashed),
            )
        if changed:
            self.metrics.blocked_requests.set(labels(), len(self.blocked))
            notify_all(self.listeners)

    def _share_completion(self, request: RequestDigest) -> None:
        completed_at_s = self.evidence.completed_at_s(request)
        if completed_at_s is None or self._is_shared(request):
            return
        self._remember_sharing(request)
        age_s = elapsed_s() - completed_at_s
        self._share(
            RequestCompleted(
                node_id=self.node_id,
                request=request,
                at_us=unix_us() - int(age_s * US_PER_S),
            )
        )

    async def _share_completion_later(self, request: RequestDigest) -> None:
        await asyncio.sleep(random.uniform(0.0, MAX_SHARING_DELAY_S))
        self._share_completion(request)

    def _is_shared(self, request: RequestDigest) -> bool:
        shared_at_s = self._shared_at_s.get(request)
        return shared_at_s is not None and elapsed_s() < (
            shared_at_s + SHARING_INTERVAL_S
        )

    def _remember_sharing(self, request: RequestDigest) -> None:
        self._shared_at_s.pop(request, None)
        self._shared_at_s[request] = elapsed_s()
        if len(self._shared_at_s) > MAX_SHARED_COMPLETIONS:
            del self._shared_at_s[next(iter(self._shared_at_s))]

    def _share(self, record: CrashRecord) -> None:
        self._enqueue(_key_of(record), encode(record))

    def _enqueue(self, key: str, value: bytes) -> None:
        self._unwritten.pop(key, None)
        self._unwritten[key] = value
        if len(self._unwritten) > MAX_UNWRITTEN_RECORDS:
            dropped = next(iter(self._unwritten))
            del self._unwritten[dropped]
            log_event("crash_record_dropped", key=dropped)
        self._has_unwritten.set()

    async def _write(self) -> None:
        while True:
            await self._has_unwritten.wait()
            batch = dict(list(self._unwritten.items())[:MAX_RECORDS_PER_WRITE])
            values = [KeyedValue(key, value) for key, value in batch.items()]
            result = await self.log.put(CRASHES_TOPIC, values)
            if isinstance(result, Err):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            for key, value in batch.items():
                if self._unwritten.get(key) is value:
                    del self._unwritten[key]
            if not self._unwritten:
                self._has_unwritten.clear()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now_s = elapsed_s()
            self.evidence.expire(now_s)
            self._update(set(self.blocked))
            due = [key for key, at_s in self._deletion_due_s.items() if at_s <= now_s]
            for key in due[:MAX_RECORDS_PER_WRITE]:
                del self._deletion_due_s[key]
                self._enqueue(key, b"")


def _key_of(record: CrashRecord) -> str:
    """Return a key of bounded length; a new record replaces one of the same matter."""
    if isinstance(record, CrashReport):
        parts = ["crash", record.node_id, record.upstream, str(record.started_ms)]
    else:
        parts = ["completed", record.request]
    return hashlib.blake2b("/".join(parts).encode(), digest_size=16).hexdigest()
