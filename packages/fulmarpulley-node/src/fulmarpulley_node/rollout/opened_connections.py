"""Count the connections that a task opens to upstreams."""

from collections.abc import Callable
from contextvars import ContextVar

_count: ContextVar[Callable[[], None] | None] = ContextVar("count", default=None)


def count_connections(count: Callable[[], None]) -> None:
    """Call a function for each connection that the current task opens from now on."""
    _count.set(count)


def record_connection() -> None:
    """Count a connection that the current task opens."""
    count = _count.get()
    if count is not None:
        count()
