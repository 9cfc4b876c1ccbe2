from unittest import TestCase, mock

from fulmarpulley_core.ids import UpstreamId, WorkId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import (
    AttachState,
    Limits,
    Retries,
    ServiceKind,
)
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import (
    Driver,
    document,
    refusals,
    run,
    sample,
    starts,
    upstream,
    work,
)


class DispatchTest(TestCase):
    """Guards against lost attempts, duplicates, and attempts on the wrong upstream."""

    def test_submit_goes_to_the_upstream_with_the_least_work(self) -> None:
        driver = Driver(document())
        started = driver.submit(work("a", max_tokens=100), work("b"), work("c"))
        self.assertEqual([s.upstream for s in started][1:], ["u2", "u2"])

    def test_work_submitted_twice_starts_once(self) -> None:
        driver = Driver(document())
        self.assertEqual(len(driver.submit(work("a"), work("a"))), 1)

    def test_work_beyond_capacity_waits_until_an_attempt_ends(self) -> None:
        driver = Driver(document())
        started = driver.submit(*[work(f"w{i}") for i in range(6)])
        self.assertEqual(len(started), 4)
        self.assertEqual(len(starts(driver.finish(started[0].attempt_id))), 1)

    def test_late_event_of_an_ended_attempt_has_no_effect(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a"))[0].attempt_id
        self.assertEqual(driver.finish(attempt), [m.Finish(WorkId("a"), attempt)])
        self.assertEqual(driver.finish(attempt), [])
        self.assertEqual(driver.fail(attempt, m.Failure.BROKEN), [])

    def test_attempt_ids_of_homes_with_different_prefixes_are_distinct(self) -> None:
        homes = [Driver(document(), id_prefix=prefix) for prefix in ("n1-", "n2-")]
        ids = {home.submit(work("a"))[0].attempt_id for home in homes}
        self.assertEqual(len(ids), 2)

    def test_withdraw_cancels_and_says_that_the_work_may_have_run(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a"))[0].attempt_id
        actions = driver.send(m.Withdraw(WorkId("a")))
        self.assertIn(m.CancelAttempt(attempt), actions)
        ended = m.Refuse(WorkId("a"), "cancelled", Ran.MAY_HAVE_RUN)
        self.assertEqual(refusals(actions), [ended])

    def test_draining_and_unlisted_upstreams_get_no_attempt(self) -> None:
        driver = Driver(document())
        for state in (m.Availability.DRAINING, m.Availability.LEAVING):
            driver.send(m.UpstreamState(UpstreamId("u1"), state))
            self.assertEqual(driver.submit(work(state))[0].upstream, "u2")
        driver.send(m.DocumentChanged(document(["u3"])))
        self.assertEqual(driver.submit(work("b"))[0].upstream, "u3")
        draining = upstream("u3", state=AttachState.DRAINING)
        driver.send(m.DocumentChanged(document([draining])))
        self.assertEqual(driver.submit(work("c")), [])

    def test_only_repeatable_work_moves_when_the_drain_time_ends(
        self,
    ) -> None:
        works = [work("a", max_tokens=99), work("b", repeatable=False)]
        for closed in (["u2"], [upstream("u1", state=AttachState.DRAINING), "u2"]):
            driver = Driver(document(["u1"], drain_s=4.0))
            first = driver.submit(*works)[0]
            driver.progress(first.attempt_id, 7)
            driver.send(m.DocumentChanged(document(closed, drain_s=4.0)))
            self.assertEqual(run(driver, 3.9), [])
            moved = run(driver, 0.2)
            self.assertEqual([(m.work_id, m.resume_from) for m in moved], [("a", 7)])
            self.assertIn(m.CancelAttempt(first.attempt_id), driver.log)

    def test_leaving_upstream_that_is_listed_again_gets_no_work(self) -> None:
        driver = Driver(document())
        driver.send(m.UpstreamState(UpstreamId("u1"), m.Availability.LEAVING))
        for names in (["u2"], ["u1"]):
            driver.send(m.DocumentChanged(document(names)))
        self.assertEqual(driver.submit(work("a")), [])

    def test_work_keeps_to_its_own_number_of_attempts(self) -> None:
        # Guards against routes of one service that share the largest limit.
        driver = Driver(document(retries=Retries(attempts=3)))
        for limit in (1, 2):
            name = f"w{limit}"
            runs = driver.submit(work(name, max_attempts=limit))
            while runs:
                driver.fail(runs[-1].attempt_id, m.Failure.BROKEN)
                retried = run(driver, 5.0, first=True)
                if not retried:
                    break
                runs += retried
            self.assertEqual(len(runs), limit)
            self.assertEqual(refusals(driver.log)[-1].ran, Ran.MAY_HAVE_RUN)

    def test_work_that_does_not_stream_is_not_cut_off_for_its_silence(self) -> None:
        # Guards against plain requests to engines that are taken for stalled ones.
        driver = Driver(document(stall_s=2.0, deadline_s=30.0))
        driver.submit(work("a", streams=False, deadline=20.0))
        self.assertEqual(run(driver, 19.0), [])
        self.assertEqual(refusals(driver.log), [])

    def test_deadline_ends_queued_work_as_not_run(self) -> None:
        driver = Driver(document([upstream("u1", capacity=1)], deadline_s=5.0))
        driver.submit(work("a"), work("b"))
        ended = refusals(driver.send(m.Tick(), after=5.0))
        self.assertEqual([r.ran for r in ended], [Ran.MAY_HAVE_RUN, Ran.NOT_RUN])


class BlockedTest(TestCase):
    """Guards against events whose cost grows with the amount of blocked work."""

    def test_blocked_work_is_not_retried_until_an_upstream_changes(self) -> None:
        driver = Driver(document(kind=ServiceKind.TRAINING))
        works = [sample(f"w{i}", tenant=f"t{i % 24}") for i in range(240)]
        with mock.patch.object(
            driver.pool, "_choose", wraps=driver.pool._choose
        ) as choose:
            self.assertEqual(driver.submit(*works), [])
            self.assertEqual(choose.call_count, 24)
            driver.report_versions(1, "u1")
        self.assertEqual(len(starts(driver.log)), 2)


class NotRepeatableTest(TestCase):
    """Guards against a second run of work that must not repeat."""

    def test_broken_attempt_is_refused_as_may_have_run(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a", repeatable=False))[0].attempt_id
        ended = m.Refuse(WorkId("a"), "upstream_broken", Ran.MAY_HAVE_RUN)
        self.assertEqual(driver.fail(attempt, m.Failure.BROKEN), [ended])

    def test_work_that_ran_at_another_home_is_not_run_again(self) -> None:
        driver = Driver(document())
        self.assertEqual(
            driver.submit(work("a", repeatable=False, resume_tokens=1)), []
        )
        self.assertEqual(refusals(driver.log)[0].ran, Ran.MAY_HAVE_RUN)

    def test_submit_after_the_end_repeats_the_end(self) -> None:
        driver = Driver(document())
        item = work("a", repeatable=False)
        driver.finish(driver.submit(item)[0].attempt_id)
        self.assertEqual(driver.submit(item), [])
        self.assertEqual(refusals(driver.log)[0].ran, Ran.MAY_HAVE_RUN)


class LengthHintTest(TestCase):
    def test_length_hint_below_max_tokens_reserves_less(self) -> None:
        # Guards against idle slots when all of max_tokens is reserved for each item.
        limits = Limits(tokens_in_flight=1000)
        driver = Driver(document(["u1"], capacity=8, limits=limits))
        fields = {"max_tokens": 900, "length_hint": 80}
        started = driver.submit(*(sample(f"s{n}", **fields) for n in range(8)))
        self.assertEqual(len(started), 8)

    def test_length_hint_above_max_tokens_reserves_max_tokens(self) -> None:
        limits = Limits(tokens_in_flight=1000)
        driver = Driver(document(["u1"], capacity=8, limits=limits))
        fields = {"max_tokens": 400, "length_hint": 8000}
        started = driver.submit(*(sample(f"s{n}", **fields) for n in range(8)))
        self.assertEqual(len(started), 2)
