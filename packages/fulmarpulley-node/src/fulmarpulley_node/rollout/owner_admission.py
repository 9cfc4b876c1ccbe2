"""Let this node join or leave the ownership of partitions by its capacity."""

import asyncio
import random

import msgspec
from aiomisc import Service
from result import Err, Ok

from fulmarpulley_core.rollout.owner_eligibility import (
    MIN_AMPLE_NODES,
    Capacity,
    Decision,
    OwnerEligibility,
    OwnersView,
    Verdict,
    check_delay_s,
    parse_capacity,
    standby_delay_s,
    standby_needed,
)
from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

from ..background_tasks import BackgroundTasks
from ..observe.events import log_event
from .clock import elapsed_s
from .follower import STEPS_TOPIC
from .interfaces import DurableLog
from .metrics import RolloutMetrics, labels
from .ownership import HOMES_GROUP, Ownership
from .step_homes import StepHomes

# Their members are ample nodes that own no partition; the partitions assigned in them
# are not used. A group may give all to one member, so a node that gets none is not seen
# and joins the next group.
STANDBY_GROUPS = tuple(f"homes-standby-{n}" for n in range(MIN_AMPLE_NODES))
# Covers several renewals, which come with each check.
STANDBY_TTL_S = 8.0
# Events that are not saved in this time are generated again by the next owner.
SAVE_TIMEOUT_S = 2.0


class OwnerAdmission(Service):
    """Check the owners from time to time and admit or withdraw this node."""

    def __init__(
        self,
        settings: RolloutSettings,
        log: DurableLog,
        ownership: Ownership,
        homes: StepHomes,
        metrics: RolloutMetrics,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.log = log
        self.ownership = ownership
        self.homes = homes
        self.metrics = metrics
        self.tasks = BackgroundTasks()
        # The last wait that was logged, so that only changes are.
        self.logged: tuple[str, str] | None = None
        self.standby_index = 0
        self.standby_generation = 0
        metrics.ownership_member.set({}, int(ownership.admitted.is_set()))

    async def start(self) -> None:
        """Start the checks, unless the capacity of this node is not known."""
        capacity = self.ownership.capacity
        if capacity is None:
            return
        if capacity.ample:
            log_event("ownership_joined", reason="ample", capacity=str(capacity))
            self.tasks.supervise(self._announce)
        else:
            self.tasks.supervise(lambda: self._check(capacity))

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the checks."""
        await self.tasks.stop()

    async def _check(self, capacity: Capacity) -> None:
        eligibility = OwnerEligibility(capacity)
        while not self.ownership.leaving:
            view = await self._read_view()
            member = self.ownership.admitted.is_set()
            verdict = eligibility.decide(member, view, elapsed_s())
            if self.ownership.leaving:
                return
            await self._apply(verdict, view)
            await asyncio.sleep(check_delay_s(verdict, random.random()))

    async def _apply(self, verdict: Verdict, view: OwnersView | None) -> None:
        counted = labels(decision=verdict.decision, reason=verdict.reason)
        self.metrics.ownership_checks.inc(counted)
        if verdict.decision is Decision.JOIN:
            self._log("ownership_joined", verdict, view)
            self.ownership.admitted.set()
        elif verdict.decision is Decision.LEAVE:
            self._log("ownership_left", verdict, view)
            saving = self.tasks.spawn(self.homes.save())
            await asyncio.wait({saving}, timeout=SAVE_TIMEOUT_S)
            await self.ownership.withdraw()
        elif verdict.decision is Decision.WAIT:
            self._log("ownership_waits", verdict, view)
        self.metrics.ownership_member.set({}, int(self.ownership.admitted.is_set()))

    def _log(self, event: str, verdict: Verdict, view: OwnersView | None) -> None:
        change = event, verdict.reason.value
        if change == self.logged:
            return
        self.logged = change
        log_event(
            event,
            reason=verdict.reason.value,
            capacity=str(self.ownership.capacity),
            ample=None if view is None else view.ample,
            unowned=None if view is None else view.unowned,
            owners=None if view is None else view.summary(),
        )

    async def _announce(self) -> None:
        """Announce this ample node while it owns nothing and weak nodes may own."""
        delay_s = 0.0
        announced = False
        while not self.ownership.leaving:
            delay_s = standby_delay_s(delay_s, announced, random.random())
            await asyncio.sleep(delay_s)
            announced = not self.ownership.tenures and await self._is_needed()
            if announced:
                await self._join_standby()

    async def _is_needed(self) -> bool:
        view = await self._read_owners()
        return view is not None and standby_needed(view)

    async def _join_standby(self) -> None:
        """Join or renew a group in which this node is seen, if there is one."""
        for _ in STANDBY_GROUPS:
            result = await self.log.join(
                STANDBY_GROUPS[self.standby_index],
                self.ownership.member,
                STEPS_TOPIC,
                STANDBY_TTL_S,
                self.standby_generation,
            )
            if isinstance(result, Err):
                return
            self.standby_generation = result.ok_value.generation
            if result.ok_value.partitions:
                return
            self.standby_index = (self.standby_index + 1) % len(STANDBY_GROUPS)
            self.standby_generation = 0

    async def _read_view(self) -> OwnersView | None:
        """Read the owners, and the announced nodes only if they may matter."""
        view = await self._read_owners()
        for group in STANDBY_GROUPS:
            # Without any owner this node joins at once when it starts.
            if not view or not view.owners or view.ample >= MIN_AMPLE_NODES:
                break
            result = await self.log.owners(group, STEPS_TOPIC)
            # A group that nobody has joined yet may be unknown to the log.
            rows = result.ok_value if isinstance(result, Ok) else []
            standby = view.standby.union(row.member for row in rows)
            view = msgspec.structs.replace(view, standby=standby)
        return view

    async def _read_owners(self) -> OwnersView | None:
        result = await self.log.owners(HOMES_GROUP, STEPS_TOPIC)
        if isinstance(result, Err):
            return None
        owned = {row.partition for row in result.ok_value}
        return OwnersView(
            owners={row.member: parse_capacity(row.member) for row in result.ok_value},
            unowned=self.settings.log.partitions - len(owned),
        )
