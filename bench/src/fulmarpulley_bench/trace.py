"""Show where the time of each step of one run goes."""

import defopt
import msgspec

from fulmarpulley_core.ids import StepNumber, TenantId

from .attempts import Attempt, Received
from .deployments import TRAINING_ENGINE
from .run import Run, RunSpec

LAST = 4


class Finished(msgspec.Struct, frozen=True):
    """Hold the times of one finished sample in virtual seconds."""

    received: Received
    attempt: Attempt
    time: float


def main(
    *,
    deployment: str = "manizales",
    contender: str = "ours",
    seed: int = 1,
    lookahead: int | None = None,
    samples: int = LAST,
) -> None:
    """Print the last samples of each step, their waits and their lower bounds.

    :param deployment: deployment
    :param contender: contender
    :param seed: seed
    :param lookahead: steps opened while training, in place of the plan's
    :param samples: last samples of a step to print
    """
    spec = RunSpec(
        deployment=deployment, contender=contender, seed=seed, lookahead=lookahead
    )
    run = Run(spec)
    found: dict[tuple[TenantId, StepNumber], list[Finished]] = {}

    def observe(received: Received, attempt: Attempt) -> None:
        key = (received.work.tenant, received.work.step)
        now = run.clock.now
        found.setdefault(key, []).append(Finished(received, attempt, now))

    run.training.observer = observe
    run.execute()
    for trainer in run.trainers:
        for record in trainer.records:
            place = f"{trainer.key.trainer} step {record.step}"
            idle = record.complete - record.needed
            print(f"{place}: needed {record.needed:.1f} idle {idle:.1f}")
            key = (TenantId(trainer.key.trainer), StepNumber(record.step))
            print_step(found.get(key, []), samples)


def print_step(finished: list[Finished], last: int) -> None:
    """Print when shares of a step were finished, and its last samples."""
    if not finished:
        return
    opened = min(one.received.submitted for one in finished)
    marks = [int(len(finished) * share) - 1 for share in (0.5, 0.9, 0.99, 1.0)]
    times = " ".join(f"{finished[mark].time - opened:.1f}" for mark in marks)
    print(f"  opened {opened:.1f}; 50, 90, 99 and 100% finished after {times} s")
    for one in finished[-last:]:
        received = one.received
        started = received.started or 0.0
        alone = received.length / TRAINING_ENGINE.rate(1)
        print(
            f"  {received.length} tokens: submitted {received.submitted - opened:.1f}"
            f" started {started - opened:.1f} ran {one.time - started:.1f}"
            f" (alone {alone:.1f}) attempts {received.attempts}"
            f" resumed at {one.attempt.resume_from} on {one.attempt.upstream}"
        )


if __name__ == "__main__":
    defopt.run(main)
