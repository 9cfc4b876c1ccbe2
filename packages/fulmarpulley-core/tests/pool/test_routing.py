from unittest import TestCase

from fulmarpulley_core.ids import PrefixId, UpstreamId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.registry import UnknownPluginError
from fulmarpulley_schema.generated.document import ServiceKind

from .pool_fixtures import MODEL, Driver, document, sample, upstream, work


def upstreams_of(started: list[m.StartAttempt]) -> list[str]:
    return [start.upstream for start in started]


class LeastTokensTest(TestCase):
    """Guards against bursts to one upstream and needless use of the paid link."""

    def test_foreign_load_of_a_report_is_avoided_until_it_ages(self) -> None:
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

    def test_received_tokens_leave_the_load(self) -> None:
        driver = Driver(document())
        started = driver.submit(work("a", max_tokens=100), work("b", max_tokens=50))
        driver.progress(started[0].attempt_id, 90)
        self.assertEqual(upstreams_of(driver.submit(work("c"))), ["u1"])

    def test_region_of_the_work_comes_first_and_the_link_last(self) -> None:
        driver = Driver(document(["u1", upstream("far", region="b", capacity=9)]))
        works = [work(f"w{i}", region="a") for i in range(3)]
        self.assertEqual(upstreams_of(driver.submit(*works)), ["u1", "u1", "far"])

    def test_group_stays_with_its_prefix_up_to_the_load_bound(self) -> None:
        names = [upstream(f"u{i}", capacity=16) for i in range(4)]
        driver = Driver(document(names))
        works = [work(f"w{i}", prefix="p") for i in range(12)]
        used = upstreams_of(driver.submit(*works))
        self.assertEqual(used[:2], ["u0", "u0"])
        self.assertGreater(len(set(used)), 1)
        self.assertLessEqual(used.count("u0"), 6)

    def test_cache_hints_move_the_affinity(self) -> None:
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


class RegistryTest(TestCase):
    """Guards against a baseline that routes like the default."""

    def test_round_robin_takes_turns_whatever_the_load(self) -> None:
        driver = Driver(document(["u1", "u2", "u3"]), routing="round_robin")
        works = [work(f"w{i}", max_tokens=9 + 90 * (i == 1)) for i in range(5)]
        used = upstreams_of(driver.submit(*works))
        self.assertEqual(used, ["u1", "u2", "u3", "u1", "u2"])

    def test_unknown_policy_is_reported_with_the_known_ones(self) -> None:
        with self.assertRaisesRegex(UnknownPluginError, "least_tokens, round_robin"):
            Driver(document(), routing="nearest")
