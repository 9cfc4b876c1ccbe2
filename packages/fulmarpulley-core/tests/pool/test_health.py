from unittest import TestCase

from fulmarpulley_core.ids import AttemptId, UpstreamId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import Retries

from .pool_fixtures import Driver, document, refusals, run, starts, upstream, work


def crash(driver: Driver, name: str, count: int = 3) -> None:
    """Fail work until the upstream has failed `count` times in a row."""
    failed = 0
    for number in range(200):
        for start in driver.submit(work(f"c{name}{number}-{driver.now}")):
            if start.upstream == name:
                driver.fail(start.attempt_id, m.Failure.ERRORED)
                failed += 1
            else:
                driver.finish(start.attempt_id)
            if failed == count:
                return


def ejected(driver: Driver) -> set[str]:
    views = driver.pool.view().upstreams
    return {v.upstream for v in views if v.availability is m.Availability.EJECTED}


FIVE = [f"u{i}" for i in range(1, 6)]


def no_retries() -> Driver:
    return Driver(document(FIVE, capacity=8, retries=Retries(attempts=1)))


class EjectionTest(TestCase):
    """Guards against work that is still sent to a failing upstream."""

    def test_failures_in_a_row_eject_and_a_success_between_does_not(self) -> None:
        driver = no_retries()
        crash(driver, "u1", count=2)
        self.assertEqual(ejected(driver), set())
        crash(driver, "u1", count=1)
        self.assertEqual(ejected(driver), {"u1"})

    def test_at_most_half_of_the_upstreams_are_ejected(self) -> None:
        driver = no_retries()
        for name in FIVE:
            crash(driver, name)
        self.assertEqual(ejected(driver), {"u1", "u2"})
        self.assertEqual(driver.submit(work("a")), [])
        self.assertEqual(len(run(driver, 0.6)), 1)

    def test_probes_end_the_probation_and_capacity_ramps_up(self) -> None:
        driver = no_retries()
        crash(driver, "u1")
        run(driver, 3.0)
        self.assertEqual(ejected(driver), set())
        started = driver.submit(*[work(f"w{i}") for i in range(60)])
        counts = []
        probes = [s.attempt_id for s in started if s.upstream == "u1"]
        for attempt in probes:
            counts.append(in_flight(driver, "u1"))
            probes += [s.attempt_id for s in starts(driver.finish(attempt))]
            if len(probes) > 2:
                break
        self.assertEqual(counts, [1, 1])
        self.assertEqual(in_flight(driver, "u1"), 2)
        run(driver, 6.0)
        self.assertEqual(in_flight(driver, "u1"), 8)

    def test_first_tokens_of_probes_end_the_probation(self) -> None:
        """Guards against a restarted upstream in probation until two whole answers."""
        driver = no_retries()
        crash(driver, "u1")
        run(driver, 3.0)
        started = driver.submit(*[work(f"w{i}") for i in range(60)])
        first = next(s.attempt_id for s in started if s.upstream == "u1")
        second = starts(driver.progress(first, 1))
        self.assertEqual([s.upstream for s in second], ["u1"])
        driver.progress(first, 2)
        self.assertEqual(in_flight(driver, "u1"), 2)
        driver.progress(second[0].attempt_id, 1)
        run(driver, 3.0)
        self.assertEqual(in_flight(driver, "u1"), 8)

    def test_tokens_of_an_attempt_before_the_probation_are_no_probe(self) -> None:
        """Guards against ending a probation by tokens of an old connection."""
        driver = no_retries()
        started = driver.submit(*[work(f"w{i}") for i in range(60)])
        old = [s.attempt_id for s in started if s.upstream == "u1"]
        for _ in range(3):
            driver.fail(old.pop(), m.Failure.ERRORED)
        run(driver, 3.0)
        self.assertEqual(ejected(driver), set())
        for attempt in old:
            driver.progress(attempt, 1)
        run(driver, 6.0)
        # Two of the failed attempts were replaced before the ejection, and one slot
        # stays empty during the probation.
        self.assertEqual(in_flight(driver, "u1"), 7)

    def test_tokens_of_a_probe_of_a_slow_upstream_do_not_pass_it(self) -> None:
        """Guards against an upstream that starts answers early and ends them late."""
        driver = no_retries()
        for number in range(60):
            for start in driver.submit(work(f"w{number}")):
                driver.now += 9.0 if start.upstream == "u1" else 0.5
                driver.finish(start.attempt_id)
            if ejected(driver):
                break
        run(driver, 3.0)
        started = driver.submit(*[work(f"x{i}") for i in range(60)])
        probe = next(s.attempt_id for s in started if s.upstream == "u1")
        self.assertEqual(driver.progress(probe, 1), [])

    def test_failed_probe_ejects_for_longer(self) -> None:
        driver = no_retries()
        crash(driver, "u1")
        run(driver, 3.0)
        crash(driver, "u1", count=1)
        self.assertEqual(ejected(driver), {"u1"})
        run(driver, 2.6)
        self.assertEqual(ejected(driver), {"u1"})
        run(driver, 3.0)
        self.assertEqual(ejected(driver), set())

    def test_probe_that_was_not_sent_is_requeued_without_back_off(self) -> None:
        """Guards against the oldest work being delayed by each failed probe."""
        driver = no_retries()
        crash(driver, "u1")
        run(driver, 3.0)
        started = driver.submit(*[work(f"w{i}") for i in range(60)])
        probe = next(s for s in started if s.upstream == "u1")
        self.assertEqual(driver.fail(probe.attempt_id, m.Failure.NOT_SENT), [])
        self.assertEqual(ejected(driver), {"u1"})
        other = next(s for s in started if s.upstream == "u2")
        following = starts(driver.finish(other.attempt_id))
        self.assertEqual([s.work_id for s in following], [probe.work_id])

    def test_slow_upstream_is_ejected_after_repeated_slow_answers(self) -> None:
        driver = no_retries()
        for number in range(60):
            for start in driver.submit(work(f"w{number}")):
                driver.now += 9.0 if start.upstream == "u1" else 0.5
                driver.finish(start.attempt_id)
            if ejected(driver):
                break
        self.assertEqual(ejected(driver), {"u1"})
        slow = [a for a in starts(driver.log) if a.upstream == "u1"]
        self.assertGreaterEqual(len(slow), 5)

    def test_refusing_upstream_is_paused_without_ejection(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a"))[0].attempt_id
        driver.fail(attempt, m.Failure.REFUSED, retry_after=4.0)
        works = [work(f"w{i}", max_tokens=1) for i in range(2)]
        self.assertEqual({s.upstream for s in driver.submit(*works)}, {"u2"})
        run(driver, 4.1)
        self.assertEqual(driver.submit(work("b"))[0].upstream, "u1")

    def test_work_that_must_not_repeat_is_not_used_as_a_probe(self) -> None:
        driver = no_retries()
        crash(driver, "u1")
        run(driver, 3.0)
        works = [work(f"w{i}", repeatable=False) for i in range(33)]
        self.assertNotIn("u1", {s.upstream for s in driver.submit(*works)})
        self.assertIn("u1", {s.upstream for s in run(driver, 12.0)})


def in_flight(driver: Driver, name: str) -> int:
    views = driver.pool.view().upstreams
    return next(v.in_flight for v in views if v.upstream == name)


class JoinTest(TestCase):
    """Guards against a burst of work to an upstream whose caches are empty."""

    def test_joined_upstream_starts_slowly(self) -> None:
        driver = Driver(document(["u1"]))
        driver.send(m.DocumentChanged(document(["u1", upstream("u2", capacity=8)])))
        driver.submit(*[work(f"w{i}") for i in range(20)])
        self.assertEqual(in_flight(driver, "u2"), 2)
        run(driver, 6.0)
        self.assertEqual(in_flight(driver, "u2"), 8)

    def test_upstream_that_returns_starts_slowly(self) -> None:
        driver = Driver(document(["u1"], capacity=8))
        for state in (m.Availability.LEAVING, m.Availability.AVAILABLE):
            driver.send(m.UpstreamState(UpstreamId("u1"), state))
        self.assertEqual(len(driver.submit(*[work(f"w{i}") for i in range(9)])), 2)


class StallTest(TestCase):
    """Guards against work that waits for a connection that sends nothing."""

    def stalled(self, **fields: object) -> tuple[Driver, AttemptId]:
        driver = Driver(document(stall_s=5.0))
        attempt = driver.submit(work("a", **fields))[0].attempt_id
        driver.now = 3.0
        driver.progress(attempt, 4)
        self.assertEqual(run(driver, 4.9), [])
        return driver, attempt

    def test_silent_attempt_is_cancelled_and_resumed_elsewhere(self) -> None:
        driver, attempt = self.stalled()
        started = run(driver, 1.0)
        self.assertIn(m.CancelAttempt(attempt), driver.log)
        self.assertEqual([(s.upstream, s.resume_from) for s in started], [("u2", 4)])

    def test_silent_work_that_must_not_repeat_ends_as_may_have_run(self) -> None:
        driver, _ = self.stalled(repeatable=False)
        self.assertEqual(run(driver, 1.0), [])
        self.assertEqual(refusals(driver.log)[0].ran, "may_have_run")

    def test_item_ends_when_all_upstreams_send_the_first_token_late(self) -> None:
        # Each upstream needs 7 s for the first token, and the stall timeout is 5 s.
        driver = Driver(document(stall_s=5.0))
        latest = driver.submit(work("a"))[0]
        began = driver.now
        while driver.now < 60.0:
            started = run(driver, 0.5)
            if started:
                latest, began = started[-1], driver.now
            if driver.now >= began + 7.0:
                break
        self.assertEqual(len(driver.finish(latest.attempt_id)), 1)
        self.assertLess(driver.now, 30.0)

    def test_progress_resets_the_stall_timeout_of_an_item(self) -> None:
        driver = Driver(document(FIVE, stall_s=5.0))
        (attempt,) = driver.submit(work("a"))
        for _ in range(2):
            (attempt,) = run(driver, 6.0)
        driver.progress(attempt.attempt_id, 1)
        run(driver, 5.1)
        self.assertIn(m.CancelAttempt(attempt.attempt_id), driver.log)

    def test_plain_service_is_bounded_by_the_deadline_only(self) -> None:
        driver = Driver(document([upstream("u1", dialect="plain")], stall_s=5.0))
        attempt = driver.submit(work("a"))[0].attempt_id
        run(driver, 60.0)
        self.assertEqual(len(driver.finish(attempt)), 1)
