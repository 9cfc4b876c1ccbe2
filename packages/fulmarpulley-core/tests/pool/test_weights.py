from unittest import TestCase

from fulmarpulley_core.ids import ModelName, UpstreamId, Version
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import (
    ServiceKind,
    TrainerEntry,
    UpstreamEntry,
    Weights,
)
from fulmarpulley_schema.generated.http import Ran

from .pool_fixtures import (
    MODEL,
    Driver,
    document,
    refusals,
    run,
    sample,
    starts,
    upstream,
)

TWO_REGIONS = ["u1", "u2", upstream("far1", region="b"), upstream("far2", region="b")]


def driver_at(
    version: int, names: list[str | UpstreamEntry], swaps_at_once: int = 9
) -> Driver:
    weights = Weights(swaps_at_once=swaps_at_once)
    driver = Driver(document(names, kind=ServiceKind.TRAINING, weights=weights))
    for upstream_id in driver.pool.components.ledger.upstreams:
        driver.report_versions(version, upstream_id)
    return driver


def announce(driver: Driver, version: int) -> dict[str, m.Order]:
    return orders(driver.send(m.VersionAnnounced(MODEL, Version(version))))


def orders(actions: list[m.Action]) -> dict[str, m.Order]:
    return {a.upstream: a for a in actions if isinstance(a, m.Order)}


def load(driver: Driver, order: m.Order) -> dict[str, m.Order]:
    """Finish an order, report the version, and return the orders that follow."""
    given = orders(driver.send(m.OrderFinished(order.order_id, True)))
    before = len(driver.log)
    driver.send(m.VersionReport(order.upstream, order.model, order.version))
    return given | orders(driver.log[before:])


class OrderTest(TestCase):
    """Guards against needless transfers between regions and idle engines."""

    def test_first_of_a_region_loads_from_the_store_and_later_ones_from_it(
        self,
    ) -> None:
        driver = driver_at(1, TWO_REGIONS)
        first = announce(driver, 2)
        self.assertEqual(
            {u: o.source for u, o in first.items()}, {"u1": None, "far1": None}
        )
        self.assertEqual(load(driver, first["far1"])["far2"].source, "far1")
        self.assertEqual(load(driver, first["u1"])["u2"].source, "u1")

    def test_swaps_at_once_are_bounded_and_least_work_goes_first(self) -> None:
        driver = driver_at(1, ["u1", "u2", "u3"], swaps_at_once=1)
        driver.submit(sample("a"), sample("b"))
        first = announce(driver, 2)
        self.assertEqual(set(first), {"u3"})
        self.assertEqual(len(load(driver, first["u3"])), 1)

    def test_second_model_loads_during_the_transfer_of_the_first(self) -> None:
        trainers = [TrainerEntry(id="a"), TrainerEntry(id="b", model="n")]
        driver = Driver(document(kind=ServiceKind.TRAINING, trainers=trainers))
        given = announce(driver, 2)
        given |= orders(driver.send(m.VersionAnnounced(ModelName("n"), Version(2))))
        models = {u: order.model for u, order in given.items()}
        self.assertEqual(models, {"u1": "m", "u2": "n"})

    def test_version_that_is_superseded_is_skipped(self) -> None:
        driver = driver_at(1, ["u1", "u2"], swaps_at_once=1)
        first = announce(driver, 2)["u1"]
        announce(driver, 3)
        self.assertEqual([o.version for o in load(driver, first).values()], [3])

    def test_failed_order_is_retried_after_a_back_off(self) -> None:
        driver = driver_at(1, ["u1"])
        order = announce(driver, 2)["u1"]
        self.assertEqual(driver.send(m.OrderFinished(order.order_id, False)), [])
        driver.now += 0.3
        self.assertEqual(orders(driver.send(m.Tick())), {})
        run(driver, 0.5)
        self.assertEqual(orders(driver.log)["u1"].version, 2)
        self.assertNotEqual(orders(driver.log)["u1"], order)

    def test_deferred_order_lets_another_one_go_first(self) -> None:
        # Guards against a new owner that holds back all orders while one has to wait
        # for a lease, and sends no work to the engines of those orders meanwhile.
        driver = driver_at(1, ["u1", "u2"], swaps_at_once=1)
        (first,) = announce(driver, 2).values()
        later = driver.send(m.OrderFinished(first.order_id, False, retry_after=3.0))
        (second,) = orders(later).values()
        self.assertNotEqual(second.upstream, first.upstream)
        self.assertFalse(
            driver.pool.components.ledger.upstreams[first.upstream].is_loading(MODEL)
        )
        self.assertEqual(load(driver, second), {})
        run(driver, 2.9)
        self.assertEqual(len(orders(driver.log)), 2)
        before = len(driver.log)
        run(driver, 0.2)
        self.assertEqual(list(orders(driver.log[before:])), [first.upstream])

    def test_failed_source_is_not_named_again(self) -> None:
        driver = driver_at(1, ["u1", "u2"])
        second = load(driver, announce(driver, 2)["u1"])["u2"]
        driver.send(m.OrderFinished(second.order_id, False))
        run(driver, 1.0)
        self.assertIsNone(orders(driver.log)["u2"].source)

    def test_order_without_an_end_or_a_report_is_given_again(self) -> None:
        for ok in (None, True):
            driver = driver_at(1, ["u1"])
            order = announce(driver, 2)["u1"]
            if ok:
                driver.send(m.OrderFinished(order.order_id, ok))
            run(driver, 120.0)
            self.assertNotEqual(orders(driver.log)["u1"], order)

    def test_upstream_that_was_downgraded_gets_a_new_order(self) -> None:
        driver = driver_at(1, ["u1"])
        load(driver, announce(driver, 2)["u1"])
        driver.log.clear()
        driver.report_versions(1, "u1")
        self.assertEqual(orders(driver.log), {})
        run(driver, 2.0)
        self.assertEqual(orders(driver.log)["u1"].version, 2)

    def test_lagging_report_of_the_old_version_gives_no_order(self) -> None:
        driver = driver_at(1, ["u1"])
        load(driver, announce(driver, 2)["u1"])
        driver.log.clear()
        driver.report_versions(1, "u1")
        driver.report_versions(2, "u1")
        run(driver, 9.0)
        self.assertEqual(orders(driver.log), {})

    def test_swap_pause_does_not_count_as_a_stall(self) -> None:
        driver = driver_at(1, ["u1"])
        driver.submit(sample("a"))
        driver.now = 9.0
        order = announce(driver, 2)["u1"]
        run(driver, 4.0)
        load(driver, order)
        self.assertEqual(run(driver, 9.0), [])
        self.assertEqual(driver.pool.view().in_flight, 1)


class FreshnessTest(TestCase):
    """Guards against samples that are too stale for their trainer."""

    def test_upstream_too_stale_for_the_bound_or_minimum_gets_no_sample(self) -> None:
        driver = driver_at(1, ["u1"])
        announce(driver, 4)
        stale = sample("a", staleness_bound=2), sample("b", min_version=2)
        self.assertEqual(driver.submit(*stale), [])
        driver.submit(sample("c", staleness_bound=3))
        self.assertEqual([one.work_id for one in run(driver, 10.0)], ["c"])
        driver.log.clear()
        driver.report_versions(2, "u1")
        self.assertEqual(driver.pool.view().queued, 1)

    def test_sample_waits_for_the_swap_that_follows_an_announcement(self) -> None:
        driver = driver_at(1, ["u1", "u2"])
        announce(driver, 2)
        fresh_enough = sample("a", staleness_bound=1), sample("b", staleness_bound=1)
        self.assertEqual(driver.submit(*fresh_enough), [])
        driver.report_versions(2, "u2")
        self.assertEqual({one.upstream for one in starts(driver.log)}, {"u2"})
        self.assertEqual(driver.pool.view().queued, 0)

    def test_sample_waits_no_longer_for_a_swap_than_it_usually_takes(self) -> None:
        driver = driver_at(1, ["u1"])
        announce(driver, 2)
        driver.submit(sample("a", staleness_bound=1))
        self.assertEqual(run(driver, 3.9), [])
        self.assertEqual([one.work_id for one in run(driver, 0.2)], ["a"])

    def test_upstream_without_a_version_gets_no_sample(self) -> None:
        driver = Driver(document(kind=ServiceKind.TRAINING))
        self.assertEqual(driver.submit(sample("a")), [])

    def test_running_sample_that_becomes_too_old_starts_over(self) -> None:
        driver = driver_at(1, ["u1"])
        started = driver.submit(sample("a", staleness_bound=0))[0]
        driver.progress(started.attempt_id, 5, version=1)
        announce(driver, 2)
        driver.log.clear()
        driver.report_versions(2, "u1")
        again = driver.log[-1]
        self.assertEqual((again.work_id, again.resume_from), ("a", 0))  # type: ignore[union-attr]

    def test_queued_sample_whose_tokens_become_too_old_starts_over(self) -> None:
        driver = driver_at(0, ["u1"])
        old = {"staleness_bound": 0, "resume_tokens": 5, "oldest_version": 1}
        announce(driver, 1)
        driver.submit(sample("a", **old))
        announce(driver, 2)
        driver.log.clear()
        driver.report_versions(2, "u1")
        self.assertEqual([s.resume_from for s in starts(driver.log)], [0])

    def test_running_sample_that_must_not_repeat_is_left_alone(self) -> None:
        driver = driver_at(1, ["u1"])
        each = sample("a", staleness_bound=0, repeatable=False)
        driver.progress(driver.submit(each)[0].attempt_id, 5, version=1)
        driver.log.clear()
        announce(driver, 2)
        driver.report_versions(2, "u1")
        self.assertEqual([a for a in driver.log if not isinstance(a, m.Order)], [])

    def test_cancelled_sample_is_not_reported_as_not_run(self) -> None:
        driver = driver_at(1, ["u1"])
        started = driver.submit(sample("a", staleness_bound=0))[0]
        driver.progress(started.attempt_id, 5, version=1)
        announce(driver, 2)
        ended = refusals(driver.send(m.Withdraw(started.work_id)))
        self.assertEqual(ended[0].ran, Ran.MAY_HAVE_RUN)

    def test_sample_that_cannot_finish_within_its_bound_waits(self) -> None:
        driver = driver_at(1, ["u1", "u2"])
        for version in (2, 3, 4):
            driver.now += 10.0
            announce(driver, version)
            driver.report_versions(version, "u1", "u2")
        slow = driver.submit(sample("slow", step=1))[0].attempt_id
        driver.now += 9.0
        driver.finish(slow, tokens=10)
        last = driver.submit(sample("last", step=1))[0].attempt_id
        self.assertEqual(driver.submit(sample("next", step=2, staleness_bound=0)), [])
        self.assertEqual(
            len(driver.submit(sample("lax", step=2, staleness_bound=1))), 1
        )
        started = driver.finish(last)
        self.assertEqual(started[-1].work_id, "next")  # type: ignore[union-attr]


class SplitModelsTest(TestCase):
    """Guards against a trainer that waits while engines load another's model."""

    def setUp(self) -> None:
        self.driver = self.new_driver(swaps_at_once=2)

    def new_driver(self, swaps_at_once: int) -> Driver:
        trainers = [TrainerEntry(id=name, model=name) for name in ("m", "n")]
        weights = Weights(swaps_at_once=swaps_at_once, swap_s=0.0, bytes=0)
        names = ["u1", "u2", "u3", "u4"]
        doc = document(
            names,
            kind=ServiceKind.TRAINING,
            trainers=trainers,
            weights=weights,
            staleness_bound=1_000_000,
        )
        driver = Driver(doc, split_models=True, refuse_while_loading=True)
        for name in names:
            for model in ("m", "n"):
                served = m.VersionReport(UpstreamId(name), ModelName(model), Version(1))
                driver.send(served)
        return driver

    def announce_both(self, version: int) -> list[m.Order]:
        events = [
            m.VersionAnnounced(ModelName(name), Version(version)) for name in ("m", "n")
        ]
        actions = self.driver.pool.handle_all(events, self.driver.now)
        return list(orders(actions).values())

    def test_each_model_gets_its_first_engine_before_any_gets_a_second(self) -> None:
        given = self.announce_both(2)
        self.assertEqual(sorted(order.model for order in given), ["m", "n"])
        for order in given:
            following = load(self.driver, order)
            self.assertEqual([o.model for o in following.values()], [order.model])

    def test_versions_that_are_known_together_are_placed_together(self) -> None:
        # Guards against a new owner that orders all engines to load the first model.
        first = self.announce_both(2)
        given = first + [
            o for order in first for o in load(self.driver, order).values()
        ]
        self.assertEqual(len({order.upstream for order in given}), 4)
        self.assertEqual([o.model for o in given].count(ModelName("m")), 2)

    def test_half_of_the_engines_of_a_model_take_work_while_it_loads(self) -> None:
        # Guards against a step that waits for a load although its version is served.
        self.driver = self.new_driver(swaps_at_once=4)
        waiting = self.announce_both(2)
        while waiting:
            waiting += load(self.driver, waiting.pop()).values()
        self.driver.send(m.VersionAnnounced(ModelName("m"), Version(3)))
        started = self.driver.submit(
            sample("a", model=ModelName("m"), min_version=Version(2))
        )
        self.assertEqual(len(started), 1)

    def test_model_whose_work_cannot_run_loads_first(self) -> None:
        # Guards against a step that waits for loads that no work requires yet.
        self.driver = self.new_driver(swaps_at_once=1)
        work = sample("a", model=ModelName("n"), min_version=Version(2))
        self.driver.submit(work)
        (first,) = self.announce_both(2)
        self.assertEqual(first.model, "n")

    def test_engine_that_has_just_loaded_takes_work_before_the_next_load(self) -> None:
        self.driver = self.new_driver(swaps_at_once=2)
        old = [sample(f"o{n}", model=ModelName("m")) for n in range(8)]
        running = self.driver.submit(*old)
        first = next(o for o in self.announce_both(2) if o.model == "m")
        self.driver.submit(sample("a", model=ModelName("m"), min_version=Version(2)))
        for start in running:
            if start.upstream == first.upstream:
                self.driver.finish(start.attempt_id)
        self.driver.send(m.VersionAnnounced(ModelName("m"), Version(3)))
        # The home of a step reports the version before it reports the end of the order.
        loaded = m.VersionReport(first.upstream, first.model, first.version)
        actions = self.driver.send(loaded)
        self.assertEqual([s.upstream for s in starts(actions)], [first.upstream])
        self.assertNotIn(first.upstream, orders(actions))
