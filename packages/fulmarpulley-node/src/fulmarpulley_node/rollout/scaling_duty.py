"""Order the upstreams of the services whose partition this node owns."""

import asyncio
from collections import Counter

from result import Err, Ok, Result

from fulmarpulley_core.ids import DutySubject, FenceNumber, ServiceName
from fulmarpulley_core.rollout.scaling import (
    ScalingDecision,
    ScalingView,
)
from fulmarpulley_core.rollout.scaling_orders import (
    OrderOutcome,
    Subject,
    UpstreamOrder,
)
from fulmarpulley_core.rollout.scaling_records import to_record
from fulmarpulley_core.rollout.topology import ScalingLimits
from fulmarpulley_core.rollout.upstreams import ListedState

from ..observe.events import log_event
from .clock import elapsed_s
from .duties import Duty, DutyContext, DutyTask, duty_tasks
from .interfaces import DutyFailure
from .metrics import labels
from .scaling_meter import LoadMeter

LOOK_INTERVAL_S = 0.5
# Records of the log may expire after 20 s.
STATE_INTERVAL_S = 5.0
SYNC_TIMEOUT_S = 2.0
# With entries or configurations older than this, upstreams may have left unnoticed.
MAX_LIST_AGE_S = 1.5
# A call may have to wait for the lease of another owner. The order is decided again if
# that took longer.
MAX_DECISION_AGE_S = 1.0

OUTCOMES = {
    DutyFailure.UNAVAILABLE: OrderOutcome.UNAVAILABLE,
    DutyFailure.UNKNOWN: OrderOutcome.UNKNOWN,
    DutyFailure.FENCED: OrderOutcome.NOT_EXECUTED,
    DutyFailure.REJECTED: OrderOutcome.NOT_EXECUTED,
    DutyFailure.UNREACHABLE: OrderOutcome.NOT_EXECUTED,
}


@duty_tasks.register(Duty.SCALING)
class ScalingDuty(DutyTask):
    """Keep the wanted number of upstreams of each service of a partition."""

    def __init__(self, context: DutyContext) -> None:
        super().__init__(context)
        self.scalers: dict[ServiceName, ServiceScaler] = {}
        self.checked_version = 0
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """Decide and order until the tenure ends."""
        self.scalers.clear()
        listeners = self.context.directory.listeners
        follower = self.context.partitions.followers[self.context.tenure.partition]
        while not await follower.sync(SYNC_TIMEOUT_S):
            pass
        listeners.append(self.changed.set)
        try:
            while True:
                self.changed.clear()
                self._update_scalers()
                await asyncio.gather(*(s.act() for s in self.scalers.values()))
                await self._wait()
        finally:
            listeners.remove(self.changed.set)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(LOOK_INTERVAL_S):
                await self.changed.wait()
        except TimeoutError:
            pass

    def _update_scalers(self) -> None:
        context, routes = self.context, self.context.directory.routes
        topology = routes.topology if routes else None
        limits: dict[ServiceName, ScalingLimits] = {}
        for service in topology.services.values() if topology else ():
            follower = context.partitions.follower_for_service(service.name)
            owned = follower.partition == context.tenure.partition
            if owned and service.scaling and self._is_valid(service.name):
                limits[service.name] = service.scaling
        for name in self.scalers.keys() - limits.keys():
            del self.scalers[name]
        for name, scaling in limits.items():
            if name not in self.scalers:
                self.scalers[name] = ServiceScaler(context, name, scaling)
            self.scalers[name].set_limits(scaling)
        self.checked_version = topology.version if topology else 0

    def _is_valid(self, name: ServiceName) -> bool:
        routes = self.context.directory.routes
        scaling = routes.topology.services[name].scaling if routes else None
        if routes is None or scaling is None:
            return False
        unknown = sorted(scaling.prices.keys() - self.context.settings.regions.keys())
        if unknown and routes.topology.version != self.checked_version:
            names = ",".join(unknown)
            log_event("scaling_disabled", service=name, unknown_data_centres=names)
        return not unknown


class ServiceScaler:
    """Decide and make the orders of one service during one tenure."""

    def __init__(
        self, context: DutyContext, service: ServiceName, limits: ScalingLimits
    ) -> None:
        self.context = context
        self.service = service
        self.meter = LoadMeter(context.directory, service)
        self.follower = context.partitions.followers[context.tenure.partition]
        self.started_s = self.written_s = elapsed_s()
        # The wanted number of the last record of this tenure.
        self.written_wanted = 0
        inherited = self.follower.fold.scaling.state(service)
        self.decision = ScalingDecision(limits, self.started_s, inherited)
        self.at_maximum = False

    def set_limits(self, limits: ScalingLimits) -> None:
        """Apply the limits of the configuration in force."""
        self.decision.limits = limits
        self.decision.book.boot_s = limits.boot_s

    async def act(self) -> None:
        """Make the orders that are due, one after another."""
        while (order := self._decide()) is not None:
            if await self._make(order) is OrderOutcome.NOT_EXECUTED:
                break
        # A tenure may end within seconds, and upstreams be reclaimed meanwhile. Without
        # a record, the next owner would take what is left as the wanted number.
        is_due = elapsed_s() >= self.written_s + STATE_INTERVAL_S
        if is_due or self.decision.state.wanted != self.written_wanted:
            await self._write(None)
        self._update_metrics()

    def _decide(self) -> UpstreamOrder | None:
        context, now_s = self.context, elapsed_s()
        home = context.runner.home_of(context.tenure)
        outdated = context.directory.config_age_s() > MAX_LIST_AGE_S
        view = ScalingView(
            now_s=now_s,
            upstreams=self.meter.upstreams(home),
            load=self.meter.load(home, asyncio.get_running_loop().time(), now_s),
            disturbed=outdated or not self.follower.healthy,
        )
        return self.decision.decide(view)

    async def _make(self, order: UpstreamOrder) -> OrderOutcome:
        context, decided_s = self.context, elapsed_s()
        data_centre, spot = order.subject

        async def send(fence: FenceNumber) -> Result[None, DutyFailure]:
            if elapsed_s() > decided_s + MAX_DECISION_AGE_S:
                current = self._decide()
                if current is None or _target(current) != _target(order):
                    return Err(DutyFailure.UNREACHABLE)
            return await context.calls.order_upstreams(
                self.service, data_centre, order.count, spot, fence
            )

        subject = DutySubject(f"duty/{Duty.SCALING}/{self.service}/{data_centre}")
        result: Result[None, DutyFailure] = Err(DutyFailure.UNREACHABLE)
        # A holder that takes over must know of the order before it can be executed.
        if await self._write(order):
            result = await context.runner.call(context.tenure, subject, send)
        failure = result.err_value if isinstance(result, Err) else None
        outcome = OrderOutcome.PLACED if failure is None else OUTCOMES[failure]
        self.decision.record_outcome(order, outcome, elapsed_s())
        reported = "ok" if failure is None else failure.value
        context.metrics.upstream_orders.inc(
            labels(service=self.service, reason=order.reason, outcome=reported)
        )
        log_event(
            "upstreams_ordered",
            service=self.service,
            data_centre=data_centre,
            before=order.before,
            count=order.count,
            spot=spot,
            reason=order.reason,
            forecast=order.late_s,
            wanted=order.wanted,
            fence=context.tenure.fence,
            outcome=reported,
        )
        await self._write(None)
        return outcome

    async def _write(self, intended: UpstreamOrder | None) -> bool:
        """Write the state of the decision to the log; return whether it is there."""
        decision, now_s = self.decision, elapsed_s()
        tenure = self.context.tenure
        record = to_record(
            decision.state, self.service, tenure.tenure_id, now_s, intended
        )
        self.written_s = now_s
        result = await self.context.partitions.append(tenure.partition, [record])
        if isinstance(result, Ok):
            self.written_wanted = decision.state.wanted
        return isinstance(result, Ok)

    def _update_metrics(self) -> None:
        metrics, decision = self.context.metrics, self.decision
        metrics.wanted_upstreams.set(
            labels(service=self.service), decision.state.wanted
        )
        entries = self.context.directory.upstreams_for_service(self.service)
        listed = Counter(e.data_centre for e in entries if e.state is ListedState.READY)
        for name in decision.data_centres():
            where = labels(service=self.service, data_centre=name)
            metrics.listed_upstreams.set(where, listed[name])
            metrics.desired_upstreams.set(where, decision.listed_or_expected(name))
        if decision.at_maximum != self.at_maximum:
            self.at_maximum = decision.at_maximum
            log_event(
                "upstreams_at_maximum", service=self.service, reached=self.at_maximum
            )


def _target(order: UpstreamOrder) -> tuple[Subject, int]:
    return order.subject, order.count
