"""Compare the policies of the contenders in a simulation in virtual time."""

import os
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from datetime import UTC, datetime
from pathlib import Path

import defopt
import msgspec

from .run import DEPLOYMENTS, RunResult, RunSpec
from .summary import (
    Summary,
    mean_idle,
    mean_staleness,
    run_with_error_context,
    summarise,
)

ROOT = Path(__file__).resolve().parents[3]
RESULTS = ROOT / "bench" / "results"
PROCESSES = 5
# Packages taken from the worktree given with --previous.
REPLACED_PACKAGES = ("fulmarpulley-schema", "fulmarpulley-core")
OURS = "ours"
NAIVE = "naive"


class Report(msgspec.Struct, kw_only=True):
    """Hold the results of a benchmark and what is needed to repeat it."""

    commit: str
    time: str
    seeds: list[int]
    previous: str | None
    summaries: list[Summary]
    runs: list[RunResult]


def main(
    *,
    seeds: int = 5,
    first_seed: int = 1,
    contender: list[str] = [],  # noqa: B006 - defopt reads the default, never changes it
    deployment: list[str] = [],  # noqa: B006
    previous: str | None = None,
    lookahead: int | None = None,
    train_s: float | None = None,
    output: str | None = None,
) -> None:
    """Run contenders on deployments over seeds; write and print the results.

    :param seeds: number of seeds
    :param first_seed: first seed
    :param contender: contenders, by default ours and naive
    :param deployment: deployments, by default both
    :param previous: worktree whose schema and core run as contender "previous"
    :param lookahead: steps opened while training, in place of the plan's
    :param train_s: seconds of training for a step, in place of the plan's
    :param output: file of the results, by default one in bench/results/
    """
    specs = [
        RunSpec(
            deployment=deployment_name,
            contender=contender_name,
            seed=seed,
            lookahead=lookahead,
            train_s=train_s,
        )
        for deployment_name in deployment or list(DEPLOYMENTS)
        for contender_name in contender or [OURS, NAIVE]
        for seed in range(first_seed, first_seed + seeds)
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = list(pool.map(run_with_error_context, specs))
    if previous is not None:
        runs += _run_previous(
            previous, [spec for spec in specs if spec.contender == OURS]
        )
    report = Report(
        commit=describe_commit(ROOT),
        time=datetime.now(UTC).isoformat(timespec="seconds"),
        seeds=list(range(first_seed, first_seed + seeds)),
        previous=previous and describe_commit(Path(previous)),
        summaries=summarise(runs),
        runs=runs,
    )
    path = Path(output) if output else RESULTS / f"policy-{report.commit[:10]}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n")
    for line in summary_lines(report.summaries):
        print(line)
    print(f"results={path}")
    for line in ratio_lines(runs):
        print(line)


def run_specs() -> None:
    """Run the specifications on standard input and write the results as JSON."""
    specs = msgspec.json.decode(sys.stdin.buffer.read(), type=list[RunSpec])
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = list(pool.map(run_with_error_context, specs))
    sys.stdout.buffer.write(msgspec.json.encode(runs))


def describe_commit(folder: Path) -> str:
    """Return the commit of a worktree, marked dirty if files differ from it."""
    command = ["git", "-C", str(folder), "describe", "--always", "--abbrev=12"]
    command += ["--dirty", "--exclude=*"]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    return completed.stdout.strip() or "unknown"


def summary_lines(summaries: list[Summary]) -> Iterator[str]:
    """Yield a line for each figure with its median and quartiles."""
    for summary in summaries:
        label = f"deployment={summary.deployment} contender={summary.contender}"
        for name, value in summary.figures.items():
            low, high = value.low_quartile, value.high_quartile
            yield f"{label} {name} median={value.median:.4g} iqr={low:.4g}..{high:.4g}"


def ratio_lines(runs: list[RunResult]) -> Iterator[str]:
    """Yield the ratios of ours to naive, from the sums over all seeds."""
    for deployment in DEPLOYMENTS:
        for name, figure in (
            ("trainer_idle", mean_idle),
            ("staleness", mean_staleness),
        ):
            sums = {
                contender_name: sum(
                    figure(run)
                    for run in runs
                    if (run.spec.deployment, run.spec.contender)
                    == (deployment, contender_name)
                )
                for contender_name in (OURS, NAIVE)
            }
            if sums[NAIVE] > 0 and sums[OURS] > 0:
                ratio = sums[OURS] / sums[NAIVE]
                yield f"bench deployment={deployment} {name} ratio={ratio:.3f}"


def _run_previous(worktree: str, specs: list[RunSpec]) -> list[RunResult]:
    sources = [f"{worktree}/packages/{name}/src" for name in REPLACED_PACKAGES]
    path = os.pathsep.join([*sources, os.environ.get("PYTHONPATH", "")])
    command = [sys.executable, "-c"]
    command += ["from fulmarpulley_bench.policy import run_specs; run_specs()"]
    completed = subprocess.run(
        command,
        input=msgspec.json.encode(specs),
        env={**os.environ, "PYTHONPATH": path},
        stdout=subprocess.PIPE,
        check=True,
    )
    runs = msgspec.json.decode(completed.stdout, type=list[RunResult])
    for run in runs:
        run.spec = msgspec.structs.replace(run.spec, contender="previous")
    return runs


if __name__ == "__main__":
    defopt.run(main)
