from unittest import TestCase

from fulmarpulley_core.ids import UpstreamId
from fulmarpulley_core.pool.messages import Availability, UpstreamState
from fulmarpulley_schema.generated.document import Limits
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import Driver, document, refusals, sample, starts, upstream, work

ONE = [upstream("u1", capacity=1)]


class AdmissionTest(TestCase):
    """Guards against requests that wait although they will miss their deadline."""

    def test_full_queue_refuses_desk_requests_but_not_samples(self) -> None:
        driver = Driver(document(ONE, limits=Limits(queue=2)))
        driver.submit(*[work(f"w{i}") for i in range(4)], sample("s"))
        ended = refusals(driver.log)
        self.assertEqual([r.work_id for r in ended], ["w3"])
        self.assertEqual((ended[0].code, ended[0].ran), ("overloaded", Ran.NOT_RUN))
        self.assertGreater(ended[0].retry_after or 0, 0)

    def test_request_that_would_wait_past_its_deadline_is_refused(self) -> None:
        driver = Driver(document(ONE))
        first = driver.submit(work("a"))[0]
        driver.now = 10.0
        driver.finish(first.attempt_id)
        driver.submit(*[work(f"w{i}", deadline=45.0) for i in range(6)])
        ended = refusals(driver.log)
        self.assertEqual([r.work_id for r in ended], ["w4", "w5"])
        for refusal in ended:
            self.assertAlmostEqual(refusal.retry_after or 0, 5.0, delta=1.25)

    def test_no_upstream_refuses_at_once(self) -> None:
        driver = Driver(document(["u1"]))
        driver.send(UpstreamState(UpstreamId("u1"), Availability.LEAVING))
        driver.submit(work("a"), sample("s"))
        codes = [(r.work_id, r.code, r.ran) for r in refusals(driver.log)]
        self.assertEqual(codes, [("a", "no_upstream", Ran.NOT_RUN)])

    def test_work_past_its_deadline_is_refused_before_a_start(self) -> None:
        driver = Driver(document())
        self.assertEqual(driver.submit(work("a", deadline=0.0)), [])
        self.assertEqual(refusals(driver.log)[0].code, "deadline_passed")

    def test_resumed_work_is_never_refused_as_not_run(self) -> None:
        driver = Driver(document())
        driver.submit(work("a", deadline=0.0, resume_tokens=3))
        self.assertEqual(refusals(driver.log)[0].ran, Ran.MAY_HAVE_RUN)


class TokenLimitTest(TestCase):
    """Guards against more tokens at an upstream than fit into its cache."""

    def test_tokens_in_flight_are_bounded_per_upstream(self) -> None:
        limits = Limits(tokens_in_flight=30)
        driver = Driver(document(["u1"], capacity=9, limits=limits))
        started = driver.submit(*[work(f"w{i}") for i in range(5)])
        self.assertEqual(len(started), 2)

    def test_large_item_starts_while_small_ones_keep_arriving(self) -> None:
        limits = Limits(tokens_in_flight=30)
        driver = Driver(document(["u1"], capacity=9, limits=limits, stall_s=99.0))
        running = driver.submit(*[work(f"w{i}") for i in range(5)])
        driver.submit(work("large", max_tokens=25, tenant="other"))
        for number in range(30):
            driver.now += 0.5
            started = driver.submit(work(f"n{number}"))
            started += starts(driver.finish(running.pop(0).attempt_id))
            running += started
            if running[-1].work_id == "large":
                return
        self.fail("the large item never started")

    def test_idle_upstream_takes_work_above_the_limit(self) -> None:
        driver = Driver(document(["u1"], limits=Limits(tokens_in_flight=30)))
        self.assertEqual(len(driver.submit(work("a", max_tokens=99), work("b"))), 1)
