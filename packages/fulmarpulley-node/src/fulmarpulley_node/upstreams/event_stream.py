"""Parse server-sent events."""

from collections.abc import AsyncIterator

import msgspec

# Longer lines than this are not part of the upstream protocol.
MAX_EVENT_BYTES = 1024 * 1024


class StreamFormatError(ValueError):
    """Report a stream that is not made of server-sent events."""


class ServerEvent(msgspec.Struct, frozen=True):
    """Hold one server-sent event."""

    name: str
    data: str


class EventParser:
    """Turn chunks of bytes into events; an event ends at an empty line."""

    def __init__(self) -> None:
        self._rest = b""
        self._name = ""
        self._data: list[str] = []

    def feed(self, chunk: bytes) -> list[ServerEvent]:
        """Return the events that a chunk completes."""
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise StreamFormatError("event line is too long")
        events = [self._feed_line(line.rstrip(b"\r")) for line in lines]
        return [event for event in events if event is not None]

    def _feed_line(self, line: bytes) -> ServerEvent | None:
        if not line:
            return self._finish_event()
        try:
            text = line.decode()
        except UnicodeDecodeError as error:
            raise StreamFormatError("event is not UTF-8") from error
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
    """Yield the events of a stream of chunks."""
    parser = EventParser()
    async for chunk in chunks:
        for event in parser.feed(chunk):
            yield event
