"""Test that server-sent events parse the same for any chunking of the bytes."""

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
    def test_feed_gives_same_events_for_any_chunking(self, cuts: list[int]) -> None:
        boundaries = [0, *sorted(cuts), len(STREAM)]
        parser = EventParser()
        events: list[ServerEvent] = []
        for start, end in itertools.pairwise(boundaries):
            events += parser.feed(STREAM[start:end])
        self.assertEqual(events, EVENTS)

    def test_feed_withholds_incomplete_event(self) -> None:
        self.assertEqual(EventParser().feed(b"event: end\ndata: {}\n"), [])

    def test_feed_rejects_line_over_limit(self) -> None:
        with self.assertRaises(StreamFormatError):
            EventParser().feed(b"x" * (MAX_EVENT_BYTES + 1))
