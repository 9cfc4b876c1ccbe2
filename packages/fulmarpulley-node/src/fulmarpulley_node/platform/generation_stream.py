"""Parse the event stream of a generation."""

from typing import NamedTuple

from .headers import parse_int


class StreamEvent(NamedTuple):
    """Hold a complete event; the version is set only when it changes.

    An event whose number or version cannot be read has no number.
    """

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
    def rest_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._rest)

    @property
    def inside_event(self) -> bool:
        """Tell whether the data so far ends within an event; comments are none."""
        lines = self._rest.split(b"\n")
        return any(line and not line.startswith(b":") for line in lines)


def _event(block: bytes) -> StreamEvent:
    number: int | None = None
    version: int | None = None
    is_valid = True
    data: list[bytes] = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            data.append(value)
        elif name == b"id":
            number = parse_int(value.decode(errors="replace"))
        elif name == b"weight-versions":
            version = parse_int(value.strip().decode(errors="replace"))
            is_valid = version is not None
    return StreamEvent(number if is_valid else None, b"\n".join(data), version)
