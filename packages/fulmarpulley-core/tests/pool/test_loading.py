from unittest import TestCase

from fulmarpulley_core.ids import Version
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import ServiceKind, Weights

from .pool_fixtures import MODEL, Driver, document, sample, starts


def driver(**settings: object) -> Driver:
    doc = document(
        ["u1", "u2"],
        kind=ServiceKind.TRAINING,
        staleness_bound=1000,
        weights=Weights(swaps_at_once=1, swap_s=0.0),
    )
    made = Driver(doc, **settings)
    made.report_versions(1, "u1", "u2")
    return made


def announce(pool: Driver, version: int) -> list[m.Order]:
    actions = pool.send(m.VersionAnnounced(MODEL, Version(version)))
    return [action for action in actions if isinstance(action, m.Order)]


class RefuseWhileLoadingTest(TestCase):
    """Guards against work that engines refuse while they load a version."""

    def test_loading_upstream_gets_no_work_of_the_model(self) -> None:
        pool = driver(refuse_while_loading=True)
        (order,) = announce(pool, 2)
        started = pool.submit(*(sample(f"s{n}") for n in range(4)))
        self.assertNotIn(order.upstream, {start.upstream for start in started})

    def test_loaded_upstream_gets_the_work_that_waited(self) -> None:
        pool = driver(refuse_while_loading=True)
        (order,) = announce(pool, 2)
        pool.submit(*(sample(f"s{n}") for n in range(4)))
        started = starts(pool.send(m.OrderFinished(order.order_id, True)))
        self.assertEqual({start.upstream for start in started}, {order.upstream})

    def test_samples_restart_promptly_after_many_refusals(self) -> None:
        # With the retry budget, only one refused sample per second would start again.
        pool = driver(refuse_while_loading=True)
        pool.submit(*(sample(f"s{n}") for n in range(4)))
        for _ in range(20):
            for attempt in list(pool.pool.components.ledger.attempts):
                pool.fail(attempt, m.Failure.REFUSED)
            pool.send(m.Tick(), after=0.25)
        self.assertEqual(len(pool.pool.components.ledger.attempts), 4)


class LoadsAtOnceTest(TestCase):
    """Guards against engines that wait for a transfer that is not in progress."""

    def orders(self, **weights: int) -> int:
        doc = document(
            ["u1", "u2", "u3", "u4"],
            kind=ServiceKind.TRAINING,
            weights=Weights(swaps_at_once=3, swap_s=0.0, **weights),
        )
        pool = Driver(doc)
        pool.report_versions(1, "u1", "u2", "u3", "u4")
        return len(announce(pool, 2))

    def test_engines_load_in_parallel_without_transfers(self) -> None:
        self.assertEqual(self.orders(bytes=0), 3)

    def test_first_transfer_to_a_region_runs_alone(self) -> None:
        self.assertEqual(self.orders(bytes=1000), 1)
