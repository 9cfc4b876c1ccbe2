from fulmarpulley_core.ids import AttemptId, UpstreamId, WorkId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_schema.generated.document import AttachState, ServiceDocument
from fulmarpulley_schema.generated.http import Ran


class PoolModel:
    """Track the actions of a pool in a simple model and assert its invariants."""

    def __init__(self, document: ServiceDocument) -> None:
        self.document = document
        self.states: dict[UpstreamId, m.Availability] = {}
        self.open_work: dict[WorkId, m.Work] = {}
        self.ended: dict[WorkId, m.Work] = {}
        self.running_attempts: dict[AttemptId, m.StartAttempt] = {}
        self.ended_attempts: list[AttemptId] = []
        self.may_have_run: set[WorkId] = set()
        self.orders: list[m.Order] = []

    def submitted(self, work: m.Work) -> None:
        self.expected_repeat = False
        if work.work_id in self.open_work:
            return
        if work.work_id in self.ended and not work.repeatable:
            self.expected_repeat = True
            return
        self.open_work[work.work_id] = work
        self.may_have_run.discard(work.work_id)
        if work.resume_tokens:
            self.may_have_run.add(work.work_id)

    def failed(self, attempt: AttemptId, failure: m.Failure) -> None:
        start = self._end_attempt(attempt)
        if failure in {m.Failure.BROKEN, m.Failure.ERRORED}:
            self.may_have_run.add(start.work_id)

    def apply(self, actions: list[m.Action], repeated: WorkId | None = None) -> None:
        for action in actions:
            match action:
                case m.StartAttempt():
                    self._started(action)
                case m.CancelAttempt(attempt_id):
                    self.may_have_run.add(self._end_attempt(attempt_id).work_id)
                case m.Finish(work_id, attempt_id):
                    assert self._end_attempt(attempt_id).work_id == work_id
                    self.may_have_run.add(work_id)
                    self._end_work(work_id)
                case m.Refuse(work_id, _, ran):
                    if work_id != repeated:
                        self._end_work(work_id)
                    if ran is Ran.NOT_RUN:
                        assert work_id not in self.may_have_run
                case m.Order():
                    self.orders.append(action)
        for start in self.running_attempts.values():
            assert start.work_id in self.open_work, f"{start} outlives its work"

    def takes_work(self, upstream: UpstreamId) -> bool:
        entries = {entry.id: entry for entry in self.document.upstreams}
        entry = entries.get(upstream)
        state = self.states.get(upstream, m.Availability.AVAILABLE)
        attached = entry is not None and entry.state is AttachState.ATTACHED
        return attached and state is m.Availability.AVAILABLE

    def _started(self, start: m.StartAttempt) -> None:
        work = self.open_work[start.work_id]
        assert self.takes_work(start.upstream), f"{start} on a closed upstream"
        assert start.attempt_id not in self.running_attempts
        assert start.attempt_id not in self.ended_attempts
        others = [
            s for s in self.running_attempts.values() if s.work_id == start.work_id
        ]
        if not work.repeatable:
            assert not others, f"{start} is a second run"
            assert start.work_id not in self.may_have_run
        assert start.hedge or not others
        self.running_attempts[start.attempt_id] = start
        running = [
            s for s in self.running_attempts.values() if s.upstream == start.upstream
        ]
        capacity = {e.id: e.capacity for e in self.document.upstreams}
        assert len(running) <= capacity[start.upstream]

    def _end_attempt(self, attempt: AttemptId) -> m.StartAttempt:
        self.ended_attempts.append(attempt)
        return self.running_attempts.pop(attempt)

    def _end_work(self, work_id: WorkId) -> None:
        self.ended[work_id] = self.open_work.pop(work_id)
