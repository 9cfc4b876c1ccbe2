"""Test that orders of upstreams are made by the holder of the duty only."""

import asyncio
import unittest
import unittest.mock
from types import SimpleNamespace
from typing import Any

import msgspec
from result import Err, Ok, Result
from rollout_settings import settings

from fulmarpulley_core.ids import (
    DataCentre,
    FenceNumber,
    ModelName,
    Partition,
    Region,
    ServiceName,
    StepId,
    TenantId,
    UpstreamId,
    Version,
    WorkId,
)
from fulmarpulley_core.pool.messages import (
    PoolSettings,
    StartAttempt,
    Submit,
    VersionReport,
    Work,
    WorkKind,
)
from fulmarpulley_core.rollout.pool_document import pool_document
from fulmarpulley_core.rollout.scaling_presence import Presence
from fulmarpulley_core.rollout.step_fold import StepFold
from fulmarpulley_core.rollout.topology import (
    EngineLimits,
    Route,
    RouteKind,
    ScalingLimits,
    Service,
    Topology,
    WeightedService,
)
from fulmarpulley_core.rollout.upstreams import ListedState, ListedUpstream
from fulmarpulley_node.rollout.clock import elapsed_s
from fulmarpulley_node.rollout.directory import Directory
from fulmarpulley_node.rollout.duties import Duty, DutyContext, DutyRunner
from fulmarpulley_node.rollout.interfaces import DutyFailure
from fulmarpulley_node.rollout.metrics import RolloutMetrics
from fulmarpulley_node.rollout.ownership import Ownership, Tenure
from fulmarpulley_node.rollout.pool_driver import PoolDriver
from fulmarpulley_node.rollout.scaling_duty import ScalingDuty, ServiceScaler
from fulmarpulley_node.rollout.scaling_meter import LoadMeter
from fulmarpulley_schema.generated.steps import OrderIntent, OwnerFence

SERVICE = ServiceName("s")
MODEL = ModelName("m")
LIMITS = ScalingLimits(
    minimum=1,
    maximum=8,
    boot_s=4.0,
    prices={DataCentre("a1"): 1.0, DataCentre("b1"): 1.0},
)
ENGINE = EngineLimits(slots=2, cache_tokens=1000, tokens_per_event=1, models=(MODEL,))


def entry(name: str, **fields: Any) -> ListedUpstream:
    return ListedUpstream(
        upstream_id=UpstreamId(name),
        service=SERVICE,
        address="h:1",
        data_centre=DataCentre("a1"),
        **fields,
    )


class FakePartitions:
    """Holds one partition; `before_append` is called with each record."""

    def __init__(self) -> None:
        self.fold = StepFold()
        self.follower = SimpleNamespace(
            fold=self.fold, sync=self.sync, healthy=True, partition=Partition(0)
        )
        self.followers = {Partition(0): self.follower}
        self.before_append: Any = lambda record: None

    def follower_for_service(self, service: ServiceName) -> Any:
        return self.follower

    async def sync(self, timeout_s: float) -> bool:
        return True

    async def append(self, partition: Partition, records: list[Any]) -> Any:
        for record in records:
            self.before_append(record)
            # As the follower does; ages of orders count from the time of reading.
            self.fold.orders.record_read_at_s = elapsed_s()
            self.fold.apply(record)
        return Ok(1)


class FakeCalls:
    """Records orders; `outcomes` are the results of the next ones."""

    def __init__(self) -> None:
        self.orders: list[tuple[DataCentre, int, bool, FenceNumber]] = []
        self.outcomes: list[Result[None, DutyFailure]] = []

    async def order_upstreams(
        self,
        service: ServiceName,
        data_centre: DataCentre,
        count: int,
        spot: bool,
        fence: FenceNumber,
    ) -> Result[None, DutyFailure]:
        self.orders.append((data_centre, count, spot, fence))
        return self.outcomes.pop(0) if self.outcomes else Ok(None)


class ScalingDutyTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.partitions: Any = FakePartitions()
        self.calls: Any = FakeCalls()
        self.settings = msgspec.structs.replace(
            settings(), regions={"a1": "a", "b1": "b"}, duty_calls_per_s=1e6
        )
        metrics, log = RolloutMetrics(), None
        self.directory = Directory(metrics)
        self.directory.operator_records_read(elapsed_s())
        for name in ("u1", "u2"):
            self.directory.upstream_put(entry(name))
        self.directory.upstream_put(entry("u3", spot=True, leaves_ms=900.0))
        ownership = Ownership(self.settings, log, self.partitions)  # type: ignore[arg-type]
        self.runner = DutyRunner(
            self.settings,
            self.directory,
            self.partitions,
            ownership,
            self.calls,
            frozenset({Duty.SCALING}),
            metrics,
        )

    def scaler(self, tenure_id: str, fence: int) -> ServiceScaler:
        """Returns a scaler of a new tenure."""
        tenure = Tenure(Partition(0), tenure_id, FenceNumber(fence))
        self.partitions.fold.apply(OwnerFence(node_id="n", tenure=tenure_id))
        self.context = DutyContext(
            self.runner,
            tenure,
            self.settings,
            self.directory,
            self.partitions,
            self.calls,
            self.runner.metrics,
        )
        return ServiceScaler(self.context, SERVICE, LIMITS)

    async def test_leaving_upstream_is_replaced_with_the_fence(self) -> None:
        await self.scaler("first", 5).act()
        self.assertEqual(self.calls.orders, [("a1", 3, False, 5)])

    async def test_unavailable_upstream_is_ordered_elsewhere_at_once(self) -> None:
        self.calls.outcomes = [Err(DutyFailure.UNAVAILABLE)]
        await self.scaler("first", 5).act()
        self.assertEqual([c[:2] for c in self.calls.orders], [("a1", 3), ("b1", 1)])

    async def test_holder_that_loses_the_duty_before_the_call_does_not_call(
        self,
    ) -> None:
        scaler = self.scaler("first", 5)

        def take_over(record: object) -> None:
            if isinstance(record, OrderIntent):
                self.partitions.fold.apply(OwnerFence(node_id="o", tenure="second"))

        self.partitions.before_append = take_over
        await scaler.act()
        self.assertEqual(self.calls.orders, [])
        # The next holder finds the order and makes it under its own fence.
        self.partitions.before_append = lambda record: None
        await self.scaler("second", 9).act()
        self.assertEqual(self.calls.orders, [("a1", 3, False, 9)])

    async def test_call_without_response_is_repeated_with_the_same_number(
        self,
    ) -> None:
        # Guards against another number, or an order elsewhere, beside a late execution.
        self.calls.outcomes = [Err(DutyFailure.UNKNOWN)]
        scaler = self.scaler("first", 5)
        await scaler.act()
        scaler.decision.book.call_pause.until_s = 0.0
        await scaler.act()
        await scaler.act()
        self.assertEqual(self.calls.orders, [("a1", 3, False, 5)] * 2)

    async def test_order_that_waited_is_decided_again(self) -> None:
        # Guards against an order that is out of date after the lease of another owner.
        scaler = self.scaler("first", 5)

        def return_upstream(record: object) -> None:
            if isinstance(record, OrderIntent):
                self.directory.upstream_put(entry("u4"))

        self.partitions.before_append = return_upstream
        with unittest.mock.patch(
            "fulmarpulley_node.rollout.scaling_duty.MAX_DECISION_AGE_S", -1.0
        ):
            await scaler.act()
        self.assertEqual(self.calls.orders, [])

    async def test_wanted_number_outlasts_a_tenure_of_seconds(self) -> None:
        # Guards against a next owner that takes what a reclaim has left as wanted.
        self.directory.upstream_put(entry("u3", spot=True))
        await self.scaler("first", 5).act()
        self.directory.upstream_put(entry("u3", spot=True, leaves_ms=900.0))
        self.directory.upstream_removed(UpstreamId("u3"))
        second = self.scaler("second", 9)
        await second.act()
        self.assertEqual(second.decision.state.wanted, 3)

    async def test_unknown_data_centre_disables_orders(self) -> None:
        self.scaler("first", 5)
        duty = ScalingDuty(self.context)
        for version, name in ((1, "z9"), (2, "b1")):
            limits = msgspec.structs.replace(LIMITS, prices={DataCentre(name): 1.0})
            service = Service(name=SERVICE, engine=ENGINE, scaling=limits)
            self.directory.topology_changed(
                Topology(version=version, services={SERVICE: service})
            )
            duty._update_scalers()
            self.assertEqual(SERVICE in duty.scalers, name == "b1")


class LoadMeterTest(unittest.IsolatedAsyncioTestCase):
    async def test_load_counts_open_steps_and_taken_slots(self) -> None:
        directory = Directory(RolloutMetrics())
        route = Route(
            name="r",  # type: ignore[arg-type]
            host="h",
            prefix="/",
            kind=RouteKind.ROLLOUT,
            services=(WeightedService(SERVICE, 1),),
            timeout_s=1.0,
            result_deadline_s=7.5,
        )
        service = Service(name=SERVICE, engine=ENGINE)
        directory.topology_changed(
            Topology(version=1, routes=(route,), services={SERVICE: service})
        )
        directory.upstream_put(entry("u1"))
        directory.upstream_put(entry("u2", state=ListedState.DRAINING))
        listed = directory.upstreams_for_service(SERVICE)
        document = pool_document(service, (route,), listed, {}, 1.0)
        driver = PoolDriver(
            document, PoolSettings(), 1, {StartAttempt: lambda action: None}
        )
        driver.post(VersionReport(UpstreamId("u1"), MODEL, Version(1)))
        step = SimpleNamespace(step_id=StepId("s1"), accepted=SimpleNamespace(host="h"))
        runs = {}
        for number in range(3):
            work_id = WorkId(f"w{number}")
            item = SimpleNamespace(path="/")
            runs[work_id] = SimpleNamespace(work_id=work_id, step=step, item=item)
            driver.post(
                Submit(
                    Work(
                        work_id=work_id,
                        tenant=TenantId(MODEL),
                        kind=WorkKind.SAMPLE,
                        model=MODEL,
                        max_tokens=100,
                        region=Region(""),
                        length_hint=40,
                    )
                )
            )
        home: Any = SimpleNamespace(
            runs=runs, pools=SimpleNamespace(pools={SERVICE: driver})
        )
        meter = LoadMeter(directory, SERVICE)
        presences = [upstream.presence for upstream in meter.upstreams(home)]
        self.assertEqual(presences, [Presence.SERVING, Presence.DRAINING])
        now_s = asyncio.get_running_loop().time()
        load = meter.load(home, now_s, 100.0)
        driver.close()
        assert load is not None
        self.assertEqual((load.slots, load.slots_taken, load.waiting), (2, 2, 1))
        (open_step,) = load.steps
        self.assertEqual((open_step.items, open_step.tokens), (3, 120.0))
        self.assertAlmostEqual(open_step.due_s, 107.5, delta=1.0)
        self.assertEqual((load.arrived_steps, load.arrived_tokens), (1, 120.0))
