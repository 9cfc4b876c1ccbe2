"""Test the format of log lines and the event feed for operators."""

import io
import unittest

from fulmarpulley_node.observe.events import EventFeed, LineDestination, format_line


class LineTest(unittest.TestCase):
    def test_values_with_spaces_and_newlines_stay_on_one_line(self) -> None:
        line = format_line({"event": "x", "reason": 'a "b"\nc', "empty": ""})
        self.assertEqual(line, 'event=x reason="a \\"b\\"\\nc" empty=""')

    def test_destination_names_event_and_node(self) -> None:
        stream, feed = io.StringIO(), EventFeed()
        destination = LineDestination(stream, feed, "n1")
        message = {"message_type": "started", "task_uuid": "u", "port": 1}
        destination(message)
        self.assertEqual(stream.getvalue(), "event=started node=n1 port=1\n")

    def test_subscriber_queue_is_bounded_when_subscriber_is_slow(self) -> None:
        feed = EventFeed()
        queue = feed.subscribe()
        for number in range(5000):
            feed.publish({"n": number})
        self.assertLessEqual(queue.qsize(), 1024)
        self.assertLessEqual(len(feed.recent), 256)
