"""Parse server-sent events."""

from collections.abc import AsyncIterator

import msgspec

# The upstream protocol has no longer lines.
MAX_EVENT_BYTES = 1024 * 1024


class StreamFormatError(ValueError):
    """Report a stream that is not valid server-sent events."""


class ServerEvent(msgspec.Struct, frozen=True):
    """Hold one server-sent event."""

    name: str
    data: str


class EventParser:
    """Parse chunks of bytes into events; an empty line ends an event."""

    def __init__(self) -> None:
        self._rest = b""
        self._name = ""
        self._data: list[str] = []

    def feed(self, chunk: bytes) -> list[ServerEvent]:
        """Return the events that a chunk completes."""
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamFormatError("event line exceeds the size limit")
        events = [self._feed_line(line.rstrip(b"\r")) for line in lines]
        return [event for event in events if event is not None]

    def _feed_line(self, line: bytes) -> ServerEvent | None:
        if not line:
            return self._finish_event()
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise StreamFormatError("event line is not valid UTF-8") from error
        field, _, value = text.partition(":")
        value = value.removeprefix(" ")
        if field == "event":
            self._name = value
        elif field == "data":
            self._data.append(value)
        return None

    def _finish_event(self) -> ServerEvent | None:
        name, data = self._name or "message", self._data
        self._name, self._data = "", []
        return ServerEvent(name, "\n".join(data)) if data else None


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[ServerEvent]:
    """Yield the events of a byte stream."""
    parser = EventParser()
    async for chunk in chunks:
        for event in parser.feed(chunk):
            yield event
