"""Guard against a trace that omits the cause of a failed request."""

import contextlib
import io
import tempfile
from pathlib import Path
from unittest import TestCase

from fulmarpulley_cli.exits import ExitCode
from fulmarpulley_cli.main import main

N1 = """\
event=node_started node=n1 callers=h:1 at=1.000
event=store_lost node=n1 topic=steps reason=refused at=8.500
event=step_submitted node=n1 step=s1 outcome=refused reason="the log is away" at=9.000
event=store_regained node=n1 topic=steps at=30.000
not a line of the log
"""
N2 = """\
event=step_submitted node=n2 step=s1 outcome=done reason="offset 7" at=10.500
event=item_ended node=n2 step=s10 item=s1x at=11.000
event=item_ended node=n2 step=s1 item=i1 upstream=u1 at=12.000
event=store_lost node=n3 topic=steps reason=refused at=10.000
"""
N3 = """\
event=upstream_crashed node=n3 upstream=d1 service=desk requests=f1,f2 at=40.000
event=crash_learned node=n1 upstream=d1 reporter=n3 requests=f1,f2 at=40.100
event=upstream_crashed node=n3 upstream=d2 service=desk requests=f2 at=41.000
event=request_blocked node=n3 digest=f1 crashed=d1,d3 at=42.000
event=request_refused node=n3 request=q1 digest=f1 outcome=crashes_upstreams at=43.000
event=request_refused node=n3 request=q2 digest=f2 outcome=deadline_passed at=44.000
"""


class TraceTest(TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (self.folder / "n1.log").write_text(N1)
        (self.folder / "n2.log").write_text(N2)
        (self.folder / "n3.log").write_text(N3)

    def trace(self, work: str, *options: str) -> list[str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = main(["trace", work, str(self.folder), *options])
        self.assertEqual(code, ExitCode.OK)
        return [line.split(" at=")[1] for line in output.getvalue().splitlines()]

    def test_trace_sorts_lines_of_all_nodes_by_time(self) -> None:
        self.assertEqual(self.trace("s1"), ["9.000", "10.500", "12.000"])

    def test_trace_excludes_lines_whose_id_only_shares_a_prefix(self) -> None:
        self.assertEqual(self.trace("s10"), ["11.000"])

    def test_trace_adds_context_events_of_same_nodes_when_around_is_set(self) -> None:
        found = self.trace("s1", "--around", "1")
        self.assertEqual(found, ["8.500", "9.000", "10.500", "12.000"])

    def test_trace_of_a_blocked_request_shows_the_crashes(self) -> None:
        found = ["40.000", "40.100", "42.000", "43.000"]
        self.assertEqual(self.trace("q1"), found)
        self.assertEqual(self.trace("f1"), found)
        self.assertEqual(self.trace("q2"), ["44.000"])

    def test_trace_finds_ids_in_lists(self) -> None:
        self.assertEqual(self.trace("d3"), ["42.000"])

    def test_trace_fails_when_id_is_unknown(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()) as error_output:
            code = main(["trace", "nothing", str(self.folder)])
        self.assertEqual(code, ExitCode.FINDINGS)
        self.assertIn("no log line contains the id nothing", error_output.getvalue())

    def test_trace_fails_when_file_is_missing(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()) as error_output:
            code = main(["trace", "s1", str(self.folder / "n9.log")])
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("n9.log", error_output.getvalue())
