import heapq
import itertools
import random
import unittest

import msgspec
from pool.pool_fixtures import document

from fulmarpulley_core.ids import AttemptId, ModelName, TenantId, WorkId
from fulmarpulley_core.pool import messages as m
from fulmarpulley_core.pool.dispatcher import Pool
from fulmarpulley_core.rollout.rewards import (
    RewardOutcome,
    RewardRetryState,
    reward_document,
    reward_rank,
)

SLOTS = 6
UPSTREAMS = ("u1", "u2", "u3")
CALL_S = 0.045
# A deployment of 3 upstreams makes 25 reward calls per second, in bursts of one step.
STEP_CALLS = 60
STEPS = 6
STEP_INTERVAL_S = 2.0


class RewardCallsTest(unittest.TestCase):
    """Guards against texts that are lost because the reward service is unavailable."""

    def test_lost_answers_end_no_item(self) -> None:
        calls = RewardRetryState(2)
        for _ in range(100):
            calls.note(RewardOutcome.LOST)
        self.assertFalse(calls.exhausted)
        self.assertLessEqual(calls.pause_s(), 0.5)

    def test_failures_end_the_item_once_all_are_used(self) -> None:
        calls = RewardRetryState(2)
        calls.note(RewardOutcome.FAILED)
        self.assertFalse(calls.exhausted)
        calls.note(RewardOutcome.FAILED)
        self.assertTrue(calls.exhausted)

    def test_pauses_grow(self) -> None:
        calls = RewardRetryState(9)
        pauses = []
        for _ in range(4):
            calls.note(RewardOutcome.FAILED)
            pauses.append(calls.pause_s())
        self.assertEqual(pauses, sorted(set(pauses)))


class RewardSimulation:
    """Simulates bursts of reward calls on upstreams that callers use as well."""

    def __init__(self) -> None:
        full_document = document(UPSTREAMS, capacity=SLOTS)
        self.pool = Pool(reward_document(full_document), m.PoolSettings(), seed=1)
        self.random = random.Random(1)
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, m.Event]] = []
        self.running: dict[AttemptId, str] = {}
        self.most_running: dict[str, int] = {}
        self.started: list[WorkId] = []
        self.waits: list[float] = []
        self.due: dict[WorkId, float] = {}

    def submit(self, at: float, step: int, item: int) -> None:
        work = m.Work(
            work_id=WorkId(f"{step}/{item}"),
            tenant=TenantId("reward"),
            kind=m.WorkKind.DESK,
            model=ModelName(""),
            max_tokens=1,
            rank=reward_rank(int(step * STEP_INTERVAL_S * 1000), item),
            deadline=at + 10.0,
        )
        self.due[work.work_id] = at
        self.push(at, m.Submit(work))

    def push(self, at: float, event: m.Event) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), event))

    def run(self) -> None:
        while self.events:
            now, _, event = heapq.heappop(self.events)
            if isinstance(event, m.AttemptFinished):
                self.running.pop(event.attempt_id)
            for action in self.pool.handle(event, now):
                if isinstance(action, m.StartAttempt):
                    self.start(action, now)
            due = self.pool.next_wakeup()
            if due is not None and self.due and not isinstance(event, m.Tick):
                self.push(max(due, now), m.Tick())

    def start(self, action: m.StartAttempt, now: float) -> None:
        self.running[action.attempt_id] = action.upstream
        busy = sum(name == action.upstream for name in self.running.values())
        self.most_running[action.upstream] = max(
            busy, self.most_running.get(action.upstream, 0)
        )
        self.started.append(action.work_id)
        self.waits.append(now - self.due[action.work_id])
        duration_s = CALL_S * self.random.uniform(0.5, 2.0)
        self.push(now + duration_s, m.AttemptFinished(action.attempt_id, 1))


class RewardLoadTest(unittest.TestCase):
    """Guards against callers that wait behind bursts of reward calls."""

    def test_burst_leaves_half_of_each_upstream_to_callers(self) -> None:
        simulation = RewardSimulation()
        for step in range(STEPS):
            for item in range(STEP_CALLS):
                simulation.submit(step * STEP_INTERVAL_S, step, item)
        simulation.run()
        self.assertEqual(len(simulation.started), STEPS * STEP_CALLS)
        self.assertLessEqual(max(simulation.most_running.values()), SLOTS // 2)
        # A burst ends before the next one starts and before a step is due.
        self.assertLess(max(simulation.waits), STEP_INTERVAL_S)

    def test_older_step_and_awaited_items_go_first(self) -> None:
        simulation = RewardSimulation()
        for item in range(20):
            simulation.submit(0.0, 0, item)
        # The calls of the older step arrive after those of the newer one.
        for item in (7, 3):
            simulation.submit(0.001, -1, item)
        simulation.run()
        full = sum(max(1, SLOTS // 2) for _ in UPSTREAMS)
        order = simulation.started.index
        self.assertLess(order(WorkId("-1/3")), full + 2)
        self.assertLess(order(WorkId("-1/3")), order(WorkId("-1/7")))
        self.assertLess(order(WorkId("0/12")), order(WorkId("0/19")))


class RewardDocumentTest(unittest.TestCase):
    def test_single_slot_still_takes_a_call(self) -> None:
        adapted = reward_document(document(("u1",), capacity=1))
        self.assertEqual([u.capacity for u in adapted.upstreams], [1])

    def test_document_is_changed_in_capacity_and_attempts_only(self) -> None:
        full_document = document(UPSTREAMS, capacity=SLOTS)
        adapted = reward_document(full_document)
        self.assertEqual(adapted.retries.attempts, 1)
        back = msgspec.structs.replace(
            adapted, upstreams=full_document.upstreams, retries=full_document.retries
        )
        self.assertEqual(back, full_document)
