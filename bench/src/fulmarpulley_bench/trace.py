"""Show how the time of each step of a run is spent."""

import defopt
import msgspec

from fulmarpulley_core.ids import StepNumber, TenantId

from .attempts import Attempt, TrackedWork
from .deployments import TRAINING_ENGINE
from .run import Run, RunSpec

DEFAULT_SAMPLES = 4


class FinishedSample(msgspec.Struct, frozen=True):
    """Hold a finished sample and the virtual time at which it finished."""

    tracked: TrackedWork
    attempt: Attempt
    time: float


def main(
    *,
    deployment: str = "manizales",
    contender: str = "ours",
    seed: int = 1,
    lookahead: int | None = None,
    samples: int = DEFAULT_SAMPLES,
) -> None:
    """Print the last samples of each step with their waits and lower bounds.

    :param deployment: name of the deployment
    :param contender: name of the contender
    :param seed: random seed
    :param lookahead: steps opened while training, in place of the plan's
    :param samples: number of last samples to print for each step
    """
    spec = RunSpec(
        deployment=deployment, contender=contender, seed=seed, lookahead=lookahead
    )
    run = Run(spec)
    finished_by_step: dict[tuple[TenantId, StepNumber], list[FinishedSample]] = {}

    def observe(tracked: TrackedWork, attempt: Attempt) -> None:
        key = (tracked.work.tenant, tracked.work.step)
        now = run.clock.now
        finished_by_step.setdefault(key, []).append(
            FinishedSample(tracked, attempt, now)
        )

    run.training.observer = observe
    run.execute()
    for trainer in run.trainers:
        for record in trainer.records:
            label = f"{trainer.spec.trainer_id} step {record.step}"
            idle = record.completed_at - record.needed_at
            print(f"{label}: needed {record.needed_at:.1f} idle {idle:.1f}")
            key = (TenantId(trainer.spec.trainer_id), StepNumber(record.step))
            print_step(finished_by_step.get(key, []), samples)


def print_step(finished: list[FinishedSample], last: int) -> None:
    """Print when parts of a step were finished, and its last samples."""
    if not finished:
        return
    opened = min(sample.tracked.submitted for sample in finished)
    indexes = [int(len(finished) * share) - 1 for share in (0.5, 0.9, 0.99, 1.0)]
    times = " ".join(f"{finished[index].time - opened:.1f}" for index in indexes)
    print(f"  opened {opened:.1f}; 50, 90, 99 and 100% finished after {times} s")
    for sample in finished[-last:]:
        tracked = sample.tracked
        started = tracked.started or 0.0
        alone = tracked.length / TRAINING_ENGINE.rate(1)
        print(
            f"  {tracked.length} tokens: submitted {tracked.submitted - opened:.1f}"
            f" started {started - opened:.1f} ran {sample.time - started:.1f}"
            f" (alone {alone:.1f}) attempts {tracked.attempts}"
            f" resumed at {sample.attempt.resume_from} on {sample.attempt.upstream}"
        )


if __name__ == "__main__":
    defopt.run(main)
