from unittest import TestCase

from fulmarpulley_core.ids import UpstreamId, WorkId
from fulmarpulley_core.pool.messages import (
    Availability,
    CancelAttempt,
    DocumentChanged,
    Failure,
    Finish,
    Refuse,
    Tick,
    UpstreamState,
    Withdraw,
)
from fulmarpulley_schema.generated.document import AttachState
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import Driver, document, refusals, starts, upstream, work


class DispatchTest(TestCase):
    """Guards against lost, doubled and misplaced attempts."""

    def test_submit_goes_to_the_upstream_with_the_least_work(self) -> None:
        driver = Driver(document())
        begun = driver.submit(work("a", max_tokens=100), work("b"), work("c"))
        self.assertEqual([s.upstream for s in begun][1:], ["u2", "u2"])

    def test_submit_twice_starts_once(self) -> None:
        driver = Driver(document())
        self.assertEqual(len(driver.submit(work("a"), work("a"))), 1)

    def test_capacity_holds_the_rest_back_until_an_attempt_ends(self) -> None:
        driver = Driver(document())
        begun = driver.submit(*[work(f"w{i}") for i in range(6)])
        self.assertEqual(len(begun), 4)
        self.assertEqual(len(starts(driver.finish(begun[0].attempt_id))), 1)

    def test_late_event_of_an_ended_attempt_has_no_effect(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a"))[0].attempt_id
        self.assertEqual(driver.finish(attempt), [Finish(WorkId("a"), attempt)])
        self.assertEqual(driver.finish(attempt), [])
        self.assertEqual(driver.fail(attempt, Failure.BROKEN), [])

    def test_withdraw_cancels_and_says_that_the_work_may_have_run(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a"))[0].attempt_id
        actions = driver.send(Withdraw(WorkId("a")))
        self.assertIn(CancelAttempt(attempt), actions)
        ended = Refuse(WorkId("a"), "cancelled", Ran.MAY_HAVE_RUN)
        self.assertEqual(refusals(actions), [ended])

    def test_draining_and_unlisted_upstreams_get_no_attempt(self) -> None:
        driver = Driver(document())
        for state in (Availability.DRAINING, Availability.LEAVING):
            driver.send(UpstreamState(UpstreamId("u1"), state))
            self.assertEqual(driver.submit(work(state))[0].upstream, "u2")
        driver.send(DocumentChanged(document(["u3"])))
        self.assertEqual(driver.submit(work("b"))[0].upstream, "u3")
        draining = upstream("u3", state=AttachState.DRAINING)
        driver.send(DocumentChanged(document([draining])))
        self.assertEqual(driver.submit(work("c")), [])

    def test_upstream_listed_again_is_still_leaving(self) -> None:
        driver = Driver(document())
        driver.send(UpstreamState(UpstreamId("u1"), Availability.LEAVING))
        for names in (["u2"], ["u1"]):
            driver.send(DocumentChanged(document(names)))
        self.assertEqual(driver.submit(work("a")), [])

    def test_deadline_ends_queued_work_as_not_run(self) -> None:
        driver = Driver(document([upstream("u1", capacity=1)], deadline_s=5.0))
        driver.submit(work("a"), work("b"))
        ended = refusals(driver.send(Tick(), after=5.0))
        self.assertEqual([r.ran for r in ended], [Ran.MAY_HAVE_RUN, Ran.NOT_RUN])


class NotRepeatableTest(TestCase):
    """Guards against a second run of work that must not repeat."""

    def test_broken_attempt_is_refused_as_may_have_run(self) -> None:
        driver = Driver(document())
        attempt = driver.submit(work("a", repeatable=False))[0].attempt_id
        ended = Refuse(WorkId("a"), "upstream_broken", Ran.MAY_HAVE_RUN)
        self.assertEqual(driver.fail(attempt, Failure.BROKEN), [ended])

    def test_submit_after_the_end_repeats_the_end(self) -> None:
        driver = Driver(document())
        item = work("a", repeatable=False)
        driver.finish(driver.submit(item)[0].attempt_id)
        self.assertEqual(driver.submit(item), [])
        self.assertEqual(refusals(driver.log)[0].ran, Ran.MAY_HAVE_RUN)
