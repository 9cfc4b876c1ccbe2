from unittest import TestCase

from fulmarpulley_core.ids import PrefixId, UpstreamId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.registry import UnknownPluginError
from fulmarpulley_schema.generated.document import ServiceKind

from .pool_fixtures import MODEL, Driver, document, run, sample, upstream, work


def upstreams_of(started: list[m.StartAttempt]) -> list[str]:
    return [start.upstream for start in started]


class LeastTokensTest(TestCase):
    """Guards against bursts to one upstream and needless use of a paid link."""

    def test_external_load_of_a_report_is_avoided_until_it_ages(self) -> None:
        driver = Driver(document(capacity=8, stall_s=99.0))
        driver.send(m.LoadReport(UpstreamId("u1"), running=4, queued=0))
        self.assertEqual(upstreams_of(driver.submit(work("a"))), ["u2"])
        driver.now += 60.0
        self.assertEqual(upstreams_of(driver.submit(work("b"))), ["u1"])

    def test_late_report_of_own_attempts_adds_no_load(self) -> None:
        driver = Driver(document())
        first = driver.submit(work("a", max_tokens=9), work("b", max_tokens=90))
        driver.now = 1.0
        driver.finish(first[0].attempt_id)
        driver.now = 1.5
        driver.send(m.LoadReport(UpstreamId("u1"), running=1, queued=0, age=1.0))
        self.assertEqual(upstreams_of(driver.submit(work("c"))), ["u1"])

    def test_received_tokens_are_subtracted_from_the_load(self) -> None:
        driver = Driver(document())
        started = driver.submit(work("a", max_tokens=100), work("b", max_tokens=50))
        driver.progress(started[0].attempt_id, 90)
        self.assertEqual(upstreams_of(driver.submit(work("c"))), ["u1"])

    def test_other_region_is_used_when_the_own_region_is_full(self) -> None:
        driver = Driver(document(["u1", upstream("far", region="b", capacity=9)]))
        works = [work(f"w{i}", region="a") for i in range(3)]
        self.assertEqual(upstreams_of(driver.submit(*works)), ["u1", "u1", "far"])

    def test_group_stays_with_the_prefix_holder_up_to_the_load_bound(self) -> None:
        names = [upstream(f"u{i}", capacity=16) for i in range(4)]
        driver = Driver(document(names))
        works = [work(f"w{i}", prefix="p") for i in range(12)]
        used = upstreams_of(driver.submit(*works))
        self.assertEqual(used[:2], ["u0", "u0"])
        self.assertGreater(len(set(used)), 1)
        self.assertLessEqual(used.count("u0"), 6)

    def test_cache_report_changes_the_prefix_affinity(self) -> None:
        driver = Driver(document())
        driver.send(m.CacheReport(UpstreamId("u2"), added=[PrefixId("p")]))
        started = driver.submit(work("a", prefix="p"))
        self.assertEqual(upstreams_of(started), ["u2"])
        driver.send(m.CacheReport(UpstreamId("u2"), removed=[PrefixId("p")]))
        self.assertEqual(upstreams_of(driver.submit(work("b", prefix="p"))), ["u1"])

    def test_up_to_date_upstream_is_preferred(self) -> None:
        driver = Driver(document(kind=ServiceKind.TRAINING))
        driver.report_versions(1, "u1")
        driver.report_versions(2, "u2")
        driver.send(m.VersionAnnounced(MODEL, 2))
        self.assertEqual(upstreams_of(driver.submit(sample("a"))), ["u2"])


class OpenConnectionTest(TestCase):
    """Guards against a new connection for each request of a quiet desk."""

    def driver(self, node: str = "n1.") -> Driver:
        doc = document(["u1", "u2", "u3"])
        return Driver(doc, routing="open_connection", id_prefix=node)

    def use(self, driver: Driver, name: str, after: float = 0.0) -> str:
        driver.now += after
        (started,) = driver.submit(work(name))
        driver.finish(started.attempt_id)
        return started.upstream

    def test_next_request_goes_to_the_upstream_of_the_last(self) -> None:
        driver = self.driver()
        used = {self.use(driver, f"w{i}", after=5.0) for i in range(6)}
        self.assertEqual(len(used), 1)

    def test_other_upstream_may_be_used_after_the_connection_has_closed(self) -> None:
        driver = self.driver()
        used = {self.use(driver, f"w{i}", after=30.0) for i in range(6)}
        self.assertEqual(used, {"u1", "u2", "u3"})

    def test_second_request_avoids_the_busy_upstream(self) -> None:
        driver = self.driver()
        self.use(driver, "a")
        used = upstreams_of(driver.submit(work("b"), work("c")))
        self.assertEqual(len(set(used)), 2)

    def test_upstream_that_failed_a_request_does_not_get_it_again(self) -> None:
        driver = self.driver()
        first = self.use(driver, "a")
        (started,) = driver.submit(work("b"))
        driver.fail(started.attempt_id, m.Failure.BROKEN)
        (again,) = run(driver, 5.0, first=True)
        self.assertEqual(started.upstream, first)
        self.assertNotEqual(again.upstream, first)

    def test_nodes_begin_with_different_upstreams(self) -> None:
        used = {self.use(self.driver(f"n{number}."), "a") for number in range(20)}
        self.assertEqual(used, {"u1", "u2", "u3"})


class RegistryTest(TestCase):
    """Guards against a setting that does not select its routing policy."""

    def test_round_robin_takes_turns_whatever_the_load(self) -> None:
        driver = Driver(document(["u1", "u2", "u3"]), routing="round_robin")
        works = [work(f"w{i}", max_tokens=9 + 90 * (i == 1)) for i in range(5)]
        used = upstreams_of(driver.submit(*works))
        self.assertEqual(used, ["u1", "u2", "u3", "u1", "u2"])

    def test_unknown_policy_is_reported_with_the_known_ones(self) -> None:
        with self.assertRaisesRegex(
            UnknownPluginError, "least_tokens, open_connection, round_robin"
        ):
            Driver(document(), routing="nearest")
