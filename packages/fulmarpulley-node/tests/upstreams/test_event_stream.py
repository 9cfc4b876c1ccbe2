"""Guard the parser of server-sent events against any cut of the bytes."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from fulmarpulley_node.upstreams.event_stream import (
    MAX_EVENT_BYTES,
    EventParser,
    ServerEvent,
    StreamFormatError,
)

STREAM = "event: token\ndata: ä 1\n\n: note\n\ndata: x\r\ndata: y\r\n\r\n".encode()
EVENTS = [ServerEvent("token", "ä 1"), ServerEvent("message", "x\ny")]


class EventParserTest(unittest.TestCase):
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_any_cut_gives_same_events(self, cuts: list[int]) -> None:
        places = [0, *sorted(cuts), len(STREAM)]
        parser = EventParser()
        events: list[ServerEvent] = []
        for start, end in itertools.pairwise(places):
            events += parser.feed(STREAM[start:end])
        self.assertEqual(events, EVENTS)

    def test_unfinished_event_is_not_reported(self) -> None:
        self.assertEqual(EventParser().feed(b"event: end\ndata: {}\n"), [])

    def test_endless_line_is_refused(self) -> None:
        with self.assertRaises(StreamFormatError):
            EventParser().feed(b"x" * (MAX_EVENT_BYTES + 1))
