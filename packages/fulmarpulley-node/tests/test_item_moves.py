"""Test the due time of items and the metrics of their moves."""

import unittest

import msgspec

from fulmarpulley_core.ids import RouteName, StepId
from fulmarpulley_core.pool.relocation import MoveCounts
from fulmarpulley_core.rollout.step_fold import SavedEvents, Step
from fulmarpulley_core.rollout.topology import Route, RouteKind
from fulmarpulley_node.rollout.item_runs import ItemRun, work_id_of
from fulmarpulley_node.rollout.metrics import RolloutMetrics, labels
from fulmarpulley_schema.generated.steps import ItemSpec, StepAccepted

ROUTE = Route(
    name=RouteName("r"),
    host="h",
    prefix="/",
    kind=RouteKind.ROLLOUT,
    services=(),
    timeout_s=1.0,
    result_deadline_s=7.5,
)


class ItemMovesTest(unittest.TestCase):
    def test_due_time_counts_from_the_first_submission(self) -> None:
        # Guards against an item that seems to have time again after a restart.
        accepted = StepAccepted(
            step_id="s", host="h", path="/", submitted_ms=0, items=[]
        )
        run = ItemRun(
            work_id=work_id_of(StepId("s"), "i"),
            step=Step(accepted=accepted, open_items={}),
            item=ItemSpec(
                item_id="i",
                path="/",
                headers={},
                body=b"",
                prompt_tokens=0,
                max_tokens=0,
            ),
            saved=SavedEvents(),
        )
        self.assertEqual(run.results_due(ROUTE, 10.0), 17.5)
        self.assertEqual(run.results_due(ROUTE, 12.0), 17.5)
        route = msgspec.structs.replace(ROUTE, result_deadline_s=0.0)
        self.assertIsNone(run.results_due(route, 12.0))
        self.assertIsNone(run.results_due(None, 12.0))

    def test_moves_are_counted_once(self) -> None:
        # Guards against counts that start over when another pool serves the service.
        metrics = RolloutMetrics()
        first = MoveCounts(started=2, won=1, tokens=100)
        metrics.add_moves("s", MoveCounts(), first)
        metrics.add_moves("s", first, MoveCounts(started=3, won=2, tokens=150))
        started = labels(service="s", outcome="started")
        self.assertEqual(metrics.moves.get(started), 3)
        self.assertEqual(metrics.moved_tokens.get(labels(service="s")), 150)
