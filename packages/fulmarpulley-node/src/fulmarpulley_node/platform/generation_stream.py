"""Parse the event stream of a generation."""

from typing import NamedTuple


class StreamEvent(NamedTuple):
    """Hold a complete event; the version is set only when it changes."""

    number: int | None
    data: bytes
    version: int | None


class EventParser:
    """Split a stream into events and buffer an incomplete one."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that this data completes."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        return [_event(block) for block in blocks if block]

    @property
    def inside_event(self) -> bool:
        """Tell whether the data so far ends within an event; comments are none."""
        lines = self._rest.split(b"\n")
        return any(line and not line.startswith(b":") for line in lines)


def _event(block: bytes) -> StreamEvent:
    number: int | None = None
    version: int | None = None
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id" and value.isdigit():
            number = int(value)
        elif name == b"weight-versions" and value.strip().isdigit():
            version = int(value)
    return StreamEvent(number, b"\n".join(data), version)
