"""Plot idle time and staleness against load as SVG."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

import defopt
import matplotlib

from .policy import NAIVE, OURS, PROCESSES, ROOT
from .run import RunResult, RunSpec
from .summary import mean_idle, mean_staleness, run_with_error_context

# Training seconds per step; a shorter time means a higher load.
TRAIN_S = {
    "manizales": (200.0, 160.0, 140.0, 130.0),
    "zlatna": (90.0, 45.0, 20.0, 10.0),
}
FIGURES = {"idle s per trainer": mean_idle, "staleness, mean": mean_staleness}


def main(*, seeds: int = 3, output: str = "docs/policy.svg") -> None:
    """Run both contenders at several loads and plot the medians.

    :param seeds: number of seeds
    :param output: file of the plot, below the root of the repository
    """
    matplotlib.use("svg")
    # A fixed salt makes equal runs give identical files.
    matplotlib.rcParams["svg.hashsalt"] = "fulmarpulley"
    specs = [
        RunSpec(deployment=deployment, contender=name, seed=seed, train_s=train_s)
        for deployment, times in TRAIN_S.items()
        for train_s in times
        for name in (OURS, NAIVE)
        for seed in range(1, seeds + 1)
    ]
    with ProcessPoolExecutor(PROCESSES) as pool:
        runs = list(pool.map(run_with_error_context, specs))
    draw(runs, ROOT / output)


def draw(runs: list[RunResult], path: Path) -> None:
    """Draw a row for each deployment and a column for each figure."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(TRAIN_S), len(FIGURES), figsize=(9, 6))
    for row, deployment in enumerate(TRAIN_S):
        for column, (label, value) in enumerate(FIGURES.items()):
            axis = axes[row][column]
            for name in (OURS, NAIVE):
                loads, values = [], []
                for train_s in TRAIN_S[deployment]:
                    key = (deployment, name, train_s)
                    group = [run for run in runs if _key(run) == key]
                    loads.append(median(run.offered_load for run in group))
                    values.append(median(value(run) for run in group))
                    print(
                        f"{deployment} {name} {label}"
                        f" load={loads[-1]:.2f} {values[-1]:.3f}"
                    )
                axis.plot(loads, values, marker="o", label=name)
            axis.set(
                title=deployment, xlabel="offered load", ylabel=label, ylim=(0, None)
            )
            axis.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def _key(run: RunResult) -> tuple[str, str, float | None]:
    return (run.spec.deployment, run.spec.contender, run.spec.train_s)


if __name__ == "__main__":
    defopt.run(main)
