"""Test which desk requests a node refuses because it stops."""

from unittest import TestCase

from fulmarpulley_core.ids import WorkId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import Driver, document, refusals, run, sample, starts, work

WORK_S = 2.0
STOP_S = 7.0
DEADLINE_S = 10.0
SLOTS = 12


class StoppingTest(TestCase):
    """Guards against requests that a stopping node keeps until it cuts them off."""

    def setUp(self) -> None:
        self.driver = Driver(document(["u1", "u2"], capacity=SLOTS // 2))
        self.running: list[tuple[float, m.StartAttempt]] = []
        # Work that has finished tells how long work takes.
        for name in ("w1", "w2"):
            self.note_starts(self.driver.submit(work(name)))
            run(self.driver, WORK_S / 2)
        self.finish_due(WORK_S)

    def submit(self, *names: str) -> None:
        deadline = self.driver.now + DEADLINE_S
        works = [work(n, deadline=deadline, repeatable=False) for n in names]
        for started in self.driver.submit(*works):
            self.running.append((self.driver.now, started))

    def finish_due(self, seconds: float) -> None:
        """Let time pass, while each attempt takes WORK_S."""
        until = self.driver.now + seconds
        while self.running and self.running[0][0] + WORK_S <= until:
            started_at, attempt = self.running.pop(0)
            due = max(self.driver.now, started_at + WORK_S)
            self.note_starts(run(self.driver, due - self.driver.now))
            self.note_starts(starts(self.driver.finish(attempt.attempt_id)))
        self.note_starts(run(self.driver, until - self.driver.now))

    def note_starts(self, started: list[m.StartAttempt]) -> None:
        self.running += [(self.driver.now, attempt) for attempt in started]

    def stop(self) -> list[m.Refuse]:
        return refusals(self.driver.send(m.StopAt(self.driver.now + STOP_S)))

    def test_requests_that_wait_too_long_are_refused_as_soon_as_that_is_known(
        self,
    ) -> None:
        names = [f"r{number:02d}" for number in range(6 * SLOTS)]
        self.submit(*names)
        refused = self.stop()
        stop_at = self.driver.now + STOP_S
        self.assertGreater(len(refused), 0)
        self.assertEqual({r.code for r in refused}, {m.STOPPING})
        self.assertEqual({r.ran for r in refused}, {Ran.NOT_RUN})
        self.finish_due(STOP_S + 1.0)
        finished = [a for a in self.driver.log if isinstance(a, m.Finish)]
        # Two rounds end for certain: that running and the one after it.
        self.assertGreaterEqual(len(finished) - 2, 2 * SLOTS)
        ended = {r.work_id: r.ran for r in refusals(self.driver.log)}
        self.assertEqual(set(ended.values()), {Ran.NOT_RUN})
        self.assertEqual(len(ended) + len(finished) - 2, len(names))
        self.assertGreater(stop_at, self.driver.now - 1.5)

    def test_no_attempt_starts_that_would_end_after_the_stop(self) -> None:
        self.stop()
        run(self.driver, STOP_S - WORK_S)
        self.submit("late")
        self.assertEqual(
            refusals(self.driver.log)[-1],
            m.Refuse(WorkId("late"), m.STOPPING, Ran.NOT_RUN),
        )

    def test_request_that_ends_in_time_is_served_whatever_its_deadline(self) -> None:
        self.stop()
        run(self.driver, STOP_S - 2 * WORK_S)
        self.submit("early")
        self.finish_due(WORK_S)
        finished = [a for a in self.driver.log if isinstance(a, m.Finish)]
        self.assertEqual(finished[-1].work_id, "early")

    def test_request_is_not_tried_again_after_the_last_start(self) -> None:
        self.submit("r1")
        self.stop()
        run(self.driver, STOP_S - WORK_S)
        attempt = self.running[-1][1]
        self.driver.fail(attempt.attempt_id, m.Failure.NOT_SENT)
        run(self.driver, STOP_S)
        self.assertEqual(
            refusals(self.driver.log), [m.Refuse(WorkId("r1"), m.STOPPING, Ran.NOT_RUN)]
        )

    def test_request_that_still_runs_at_the_stop_may_have_run(self) -> None:
        self.submit("r1")
        self.stop()
        run(self.driver, STOP_S)
        self.assertEqual(
            refusals(self.driver.log),
            [m.Refuse(WorkId("r1"), "deadline_passed", Ran.MAY_HAVE_RUN)],
        )

    def test_samples_are_left_to_the_next_owner(self) -> None:
        self.driver.submit(*[sample(f"s{n}") for n in range(2 * SLOTS)])
        self.assertEqual(self.stop(), [])
        run(self.driver, STOP_S)
        self.assertEqual(refusals(self.driver.log), [])
