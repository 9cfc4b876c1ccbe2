from unittest import TestCase

import msgspec

from fulmarpulley_bench.run import RunResult, RunSpec, run


def short_spec(contender: str, deployment: str = "manizales") -> RunSpec:
    return RunSpec(
        deployment=deployment,
        contender=contender,
        seed=3,
        steps=4,
        groups=8,
        train_s=30.0,
        desk_s=60.0,
    )


def without_wall_time(result: RunResult) -> RunResult:
    """Clear the only field that depends on the machine."""
    return msgspec.structs.replace(result, wall_s=0.0)


class PolicyTest(TestCase):
    """Guards against varying results, lost or duplicate samples, and stale ones."""

    def test_run_with_the_same_seed_gives_the_same_result(self) -> None:
        for contender in ("ours", "naive"):
            first, second = run(short_spec(contender)), run(short_spec(contender))
            self.assertEqual(without_wall_time(first), without_wall_time(second))

    def test_run_delivers_every_sample_exactly_once(self) -> None:
        for contender in ("ours", "naive"):
            for deployment in ("manizales", "zlatna"):
                for trainer in run(short_spec(contender, deployment)).trainers:
                    self.assertTrue(trainer.done)
                    self.assertEqual(trainer.delivered, 4 * 8 * 8)
                    self.assertEqual(trainer.duplicates, 0)

    def test_run_of_ours_delivers_no_sample_past_the_staleness_bound(self) -> None:
        for deployment in ("manizales", "zlatna"):
            for trainer in run(short_spec("ours", deployment)).trainers:
                self.assertEqual(trainer.past_bound, 0)

    def test_run_answers_or_refuses_every_desk_request_once(self) -> None:
        for contender in ("ours", "naive"):
            result = run(short_spec(contender))
            ended = result.desk_answered + sum(result.desk_refused.values())
            self.assertEqual(ended, result.desk_sent)
