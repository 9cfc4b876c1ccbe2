"""Write log lines to standard output without blocking on a slow reader."""

import asyncio
import os
import select
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec
from eliot import add_destinations

from ..observe.events import format_line

# A pipe that select reports as writable takes this many bytes without blocking.
CHUNK_BYTES = 4096
FLUSH_DELAY_S = 0.05
# Limit of the lines buffered for a slow reader; further lines are dropped.
MAX_BUFFER_BYTES = 1024 * 1024
# Rate limit of each event, after an initial burst. A busy node ends some tens of items
# a second.
LINES_PER_S = 100.0
BURST_LINES = 400.0
DROP_REPORT_INTERVAL_S = 5.0
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "message_type", "timestamp"})


class TokenBucket(msgspec.Struct):
    """Limit the rate of an event's lines and count the dropped ones."""

    available_lines: float = BURST_LINES
    updated_at: float = 0.0
    dropped: int = 0

    def try_take(self, now: float) -> bool:
        """Take one line, or count it as dropped and return False."""
        self.available_lines = min(
            BURST_LINES, self.available_lines + (now - self.updated_at) * LINES_PER_S
        )
        self.updated_at = now
        if self.available_lines < 1:
            self.dropped += 1
            return False
        self.available_lines -= 1
        return True


class LogLineWriter:
    """Buffer log lines and write them in batches after a short delay."""

    def __init__(self, node_id: str, on_dropped: Callable[[str, int], None]) -> None:
        self.node_id = node_id
        self.on_dropped = on_dropped
        self.descriptor = sys.stdout.fileno()
        self.buffer = bytearray()
        self.buckets: dict[str, TokenBucket] = {}
        self._flush_scheduled = False
        self._reported_at = time.monotonic()

    def start(self) -> None:
        """Write all log events of this process to standard output."""
        add_destinations(self)

    def __call__(self, message: dict[str, Any]) -> None:
        """Buffer one event, subject to its rate limit."""
        now = time.monotonic()
        event = str(message.get("message_type", "eliot"))
        bucket = self.buckets.setdefault(event, TokenBucket(updated_at=now))
        if bucket.try_take(now) and len(self.buffer) < MAX_BUFFER_BYTES:
            fields = {k: v for k, v in message.items() if k not in _ELIOT_FIELDS}
            self._append_line(event, message.get("timestamp", 0.0), fields)
        elif len(self.buffer) >= MAX_BUFFER_BYTES:
            bucket.dropped += 1
        if now > self._reported_at + DROP_REPORT_INTERVAL_S:
            self._report_dropped(now)

    def flush(self) -> None:
        """Write as much of the buffer as the pipe takes without blocking."""
        self._flush_scheduled = False
        while self.buffer:
            if not select.select([], [self.descriptor], [], 0)[1]:
                break
            try:
                written = os.write(self.descriptor, self.buffer[:CHUNK_BYTES])
            except OSError:
                # The reader is gone, so the error cannot be reported there either.
                self.buffer.clear()
                return
            del self.buffer[:written]
        if self.buffer:
            self._flush_later()

    def _append_line(
        self, event: str, timestamp: float, fields: dict[str, Any]
    ) -> None:
        entries = {
            "event": event,
            "node": self.node_id,
            **fields,
            "at": f"{timestamp:.3f}",
        }
        self.buffer += format_line(entries).encode(errors="replace") + b"\n"
        if not self._flush_later():
            self.flush()

    def _flush_later(self) -> bool:
        if self._flush_scheduled:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._flush_scheduled = True
        loop.call_later(FLUSH_DELAY_S, self.flush)
        return True

    def _report_dropped(self, now: float) -> None:
        self._reported_at = now
        for event, bucket in self.buckets.items():
            if bucket.dropped:
                count, bucket.dropped = bucket.dropped, 0
                self.on_dropped(event, count)
                fields = {"dropped": event, "count": count}
                self._append_line("log_lines_dropped", time.time(), fields)
