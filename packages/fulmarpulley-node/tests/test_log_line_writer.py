import os
import unittest

from fulmarpulley_node.rollout.log_line_writer import (
    BURST_LINES,
    MAX_BUFFER_BYTES,
    LogLineWriter,
)


class LogLinesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.dropped: list[tuple[str, int]] = []
        self.lines = LogLineWriter(
            "n1", lambda event, n: self.dropped.append((event, n))
        )
        self.lines.descriptor = self.writer

    def emit(self, event: str, **fields: object) -> None:
        self.lines({"message_type": event, "timestamp": 1.0, **fields})

    def test_event_is_written_as_one_key_value_line(self) -> None:
        self.emit("item_ended", step="s 1")
        text = os.read(self.reader, 4096).decode()
        self.assertEqual(text, 'event=item_ended node=n1 step="s 1" at=1.000\n')

    def test_emit_does_not_block_when_reader_stops(self) -> None:
        # A full pipe may lose log lines but must never delay requests.
        for number in range(300):
            self.emit(f"event{number}", text="x" * 8000)
        self.assertLessEqual(len(self.lines.buffer), MAX_BUFFER_BYTES + 9000)

    def test_lines_above_rate_limit_are_dropped_and_counted(self) -> None:
        for _ in range(int(BURST_LINES) + 50):
            self.emit("busy")
        self.assertGreater(self.lines.buckets["busy"].dropped, 0)
        self.lines._report_dropped(0.0)
        self.assertEqual(self.dropped[0][0], "busy")

    def test_closed_reader_does_not_end_the_process(self) -> None:
        reader, writer = os.pipe()
        os.close(reader)
        self.lines.descriptor = writer
        self.addCleanup(os.close, writer)
        self.emit("one")
        self.assertEqual(len(self.lines.buffer), 0)
