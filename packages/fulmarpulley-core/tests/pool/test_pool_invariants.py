from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from fulmarpulley_core.ids import UpstreamId, Version
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import (
    AttachState,
    Hedges,
    Limits,
    ServiceDocument,
    ServiceKind,
)

from .pool_fixtures import MODEL, Driver, document, upstream, work
from .pool_model import PoolModel

NAMES = ["u1", "u2", "u3", "u4"]
UPSTREAMS = st.sampled_from(NAMES).map(UpstreamId)
INDEX = st.integers(0, 99)
TOKENS = st.integers(0, 30)
# All waits of a pool end within this time, apart from a rare deadline.
RECOVERY_S = 600.0


def service(names: list[str], draining: set[str], capacity: int) -> ServiceDocument:
    states = {True: AttachState.DRAINING, False: AttachState.ATTACHED}
    entries = [
        upstream(
            n, capacity=capacity, state=states[n in draining], region="ab"[n > "u2"]
        )
        for n in names
    ]
    return document(
        entries,
        kind=ServiceKind.TRAINING,
        limits=Limits(queue=6, tokens_in_flight=60),
        hedges=Hedges(budget_ratio=0.5, desk=True),
        deadline_s=30.0,
        drain_s=5.0,
    )


class PoolMachine(RuleBasedStateMachine):
    """Guards against orders of events that lose, duplicate or misplace work."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver(service(NAMES, set(), 2))
        self.model = PoolModel(service(NAMES, set(), 2))
        self.works: list[m.Work] = []
        self.version = 1
        for name in NAMES:
            self.send(m.VersionReport(UpstreamId(name), MODEL, Version(1)))

    def send(self, event: m.Event) -> None:
        repeated = None
        if isinstance(event, m.Submit):
            self.model.submitted(event.work)
            repeated = event.work.work_id if self.model.expected_repeat else None
        self.model.apply(self.driver.send(event), repeated)
        view = self.driver.pool.view()
        assert view.in_flight == len(self.model.running_attempts)
        assert view.queued <= len(self.model.open_work)
        wakeup = self.driver.pool.next_wakeup()
        assert wakeup is None or wakeup > self.driver.now

    @rule(
        kind=st.sampled_from(m.WorkKind),
        tenant=st.sampled_from(["a", "b"]),
        repeatable=st.booleans(),
        max_tokens=st.integers(1, 80),
        step=st.integers(1, 3),
        bound=st.sampled_from([None, 0, 1]),
        behind=st.integers(-1, 2),
        wait=st.sampled_from([None, -1.0, 3.0, 20.0]),
        resume_tokens=st.sampled_from([0, 0, 0, 1]),
        prefix=st.sampled_from(["", "p"]),
    )
    def submit(
        self, behind: int, bound: int | None, wait: float | None, **fields: object
    ) -> None:
        deadline = None if wait is None else self.driver.now + wait
        each = work(
            f"w{len(self.works)}",
            min_version=max(0, self.version - behind),
            staleness_bound=bound,
            deadline=deadline,
            **fields,
        )
        self.works.append(each)
        self.send(m.Submit(each))

    @precondition(lambda self: self.works)
    @rule(index=INDEX, withdraw=st.booleans())
    def submit_again_or_withdraw(self, index: int, withdraw: bool) -> None:
        each = self.works[index % len(self.works)]
        self.send(m.Withdraw(each.work_id) if withdraw else m.Submit(each))

    @precondition(lambda self: self.model.running_attempts)
    @rule(index=INDEX, tokens=TOKENS, version=st.booleans())
    def progress(self, index: int, tokens: int, version: bool) -> None:
        attempt = list(self.model.running_attempts)[
            index % len(self.model.running_attempts)
        ]
        label = Version(self.version) if version else None
        self.send(m.AttemptProgress(attempt, tokens, label))

    @precondition(lambda self: self.model.running_attempts)
    @rule(index=INDEX, tokens=TOKENS)
    def finish(self, index: int, tokens: int) -> None:
        attempt = list(self.model.running_attempts)[
            index % len(self.model.running_attempts)
        ]
        self.send(m.AttemptFinished(attempt, tokens))

    @precondition(lambda self: self.model.running_attempts)
    @rule(index=INDEX, failure=st.sampled_from(m.Failure), tokens=TOKENS)
    def fail(self, index: int, failure: m.Failure, tokens: int) -> None:
        attempt = list(self.model.running_attempts)[
            index % len(self.model.running_attempts)
        ]
        self.model.failed(attempt, failure)
        self.send(m.AttemptFailed(attempt, failure, tokens))

    @precondition(lambda self: self.model.running_attempts)
    @rule(name=UPSTREAMS)
    def crash(self, name: UpstreamId) -> None:
        for start in list(self.model.running_attempts.values()):
            if (
                start.upstream == name
                and start.attempt_id in self.model.running_attempts
            ):
                self.model.failed(start.attempt_id, m.Failure.BROKEN)
                self.send(m.AttemptFailed(start.attempt_id, m.Failure.BROKEN))

    @precondition(lambda self: self.model.ended_attempts)
    @rule(index=INDEX, finished=st.booleans())
    def report_late(self, index: int, finished: bool) -> None:
        attempt = self.model.ended_attempts[index % len(self.model.ended_attempts)]
        late: m.Event = m.AttemptFailed(attempt, m.Failure.BROKEN, 9)
        self.send(m.AttemptFinished(attempt, 9) if finished else late)

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0, 12.0, 70.0]))
    def wait(self, seconds: float) -> None:
        until = self.driver.now + seconds
        while (due := self.driver.pool.next_wakeup()) is not None and due <= until:
            self.driver.now = due
            self.send(m.Tick())
        self.driver.now = until
        self.send(m.Tick())

    @rule(name=UPSTREAMS, state=st.sampled_from(m.Availability))
    def change_state(self, name: UpstreamId, state: m.Availability) -> None:
        if state is not m.Availability.EJECTED:
            self.model.states[name] = state
            self.send(m.UpstreamState(name, state))

    @rule(
        names=st.sets(st.sampled_from(NAMES)),
        draining=st.sets(st.sampled_from(NAMES)),
        capacity=st.integers(1, 3),
    )
    def change_document(
        self, names: set[str], draining: set[str], capacity: int
    ) -> None:
        self.model.document = service(sorted(names), draining, capacity)
        self.send(m.DocumentChanged(self.model.document))

    @rule(name=UPSTREAMS, newer=st.booleans(), behind=st.integers(0, 2))
    def report_version(self, name: UpstreamId, newer: bool, behind: int) -> None:
        self.version += newer
        self.send(m.VersionAnnounced(MODEL, Version(self.version)))
        version = Version(max(1, self.version - behind))
        self.send(m.VersionReport(name, MODEL, version))
        self.send(m.LoadReport(name, behind, behind, age=behind))

    @precondition(lambda self: self.model.orders)
    @rule(index=INDEX, ok=st.booleans())
    def finish_order(self, index: int, ok: bool) -> None:
        order = self.model.orders[index % len(self.model.orders)]
        self.send(m.OrderFinished(order.order_id, ok))
        if ok:
            self.send(m.VersionReport(order.upstream, MODEL, order.version))

    def teardown(self) -> None:
        """Restore all upstreams and require that every open work item ends."""
        self.model.document = service(NAMES, set(), 2)
        self.send(m.DocumentChanged(self.model.document))
        for name in map(UpstreamId, NAMES):
            self.model.states[name] = m.Availability.AVAILABLE
            self.send(m.UpstreamState(name, m.Availability.AVAILABLE))
            self.send(m.VersionReport(name, MODEL, Version(self.version + 1)))
        until = self.driver.now + RECOVERY_S
        while self.model.open_work and self.driver.now < until:
            for attempt in list(self.model.running_attempts):
                if attempt in self.model.running_attempts:
                    self.send(m.AttemptFinished(attempt, 5))
            due = self.driver.pool.next_wakeup()
            self.driver.now = until if due is None else max(due, self.driver.now)
            self.send(m.Tick())
        assert not self.model.open_work, f"never ended: {self.model.open_work}"


PoolInvariantsTest = PoolMachine.TestCase
PoolInvariantsTest.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
)
