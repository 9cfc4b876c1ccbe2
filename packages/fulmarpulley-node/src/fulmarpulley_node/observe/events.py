"""Write log events as key=value lines and keep recent ones for operators."""

import asyncio
import sys
from collections import deque
from typing import Any, TextIO

from eliot import add_destinations, log_message

RECENT_EVENTS = 256
SUBSCRIBER_QUEUE = 1024
_ELIOT_FIELDS = frozenset({"task_uuid", "task_level", "message_type"})


class EventFeed:
    """Keep recent events and deliver new ones to subscribers."""

    def __init__(self) -> None:
        self.recent: deque[dict[str, Any]] = deque(maxlen=RECENT_EVENTS)
        self.subscribers: set[asyncio.Queue[dict[str, Any]]] = set()

    def publish(self, event: dict[str, Any]) -> None:
        """Deliver an event; a subscriber whose queue is full misses it."""
        self.recent.append(event)
        for queue in self.subscribers:
            if not queue.full():
                queue.put_nowait(event)

    def subscribe(self) -> asyncio.Queue[dict[str, Any]]:
        """Return a queue that receives new events."""
        queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue(SUBSCRIBER_QUEUE)
        self.subscribers.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[dict[str, Any]]) -> None:
        """Stop delivering events to a queue."""
        self.subscribers.discard(queue)


class LineDestination:
    """Write eliot messages as lines of key=value pairs."""

    def __init__(self, stream: TextIO, feed: EventFeed, node_id: str) -> None:
        self.stream = stream
        self.feed = feed
        self.node_id = node_id

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one message to the stream and the feed."""
        fields = {"event": message.get("message_type", "eliot"), "node": self.node_id}
        fields |= {k: v for k, v in message.items() if k not in _ELIOT_FIELDS}
        self.stream.write(format_line(fields) + "\n")
        self.stream.flush()
        self.feed.publish(fields)


def format_line(fields: dict[str, Any]) -> str:
    """Return a line of key=value pairs; quote values that need it."""
    return " ".join(f"{key}={_format_value(value)}" for key, value in fields.items())


def start_logging(node_id: str, feed: EventFeed) -> None:
    """Send all events of this process to standard error and the feed."""
    add_destinations(LineDestination(sys.stderr, feed, node_id))


def log_event(event: str, **fields: Any) -> None:
    """Log one event with its fields."""
    log_message(event, **fields)


def _format_value(value: Any) -> str:
    text = f"{value:.6f}" if isinstance(value, float) else str(value)
    if text and not any(c in text for c in ' "=\n'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'
