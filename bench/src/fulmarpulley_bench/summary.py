"""Summarise runs over seeds."""

from statistics import median, quantiles

import msgspec

from .run import RunResult, RunSpec, TrainerResult, run


class Spread(msgspec.Struct, frozen=True):
    """Hold the median, the quartiles and the range of a figure over seeds."""

    median: float
    low_quartile: float
    high_quartile: float
    least: float
    most: float


class Summary(msgspec.Struct, kw_only=True):
    """Hold the figures of a contender on a deployment."""

    deployment: str
    contender: str
    seeds: list[int]
    figures: dict[str, Spread]


def run_with_error_context(spec: RunSpec) -> RunResult:
    """Execute a run and add its specification to any error."""
    try:
        return run(spec)
    except Exception as error:
        raise RuntimeError(f"run failed: {spec}") from error


def summarise(results: list[RunResult]) -> list[Summary]:
    """Group results by deployment and contender."""
    groups: dict[tuple[str, str], list[RunResult]] = {}
    for result in results:
        key = (result.spec.deployment, result.spec.contender)
        groups.setdefault(key, []).append(result)
    return [
        Summary(
            deployment=deployment,
            contender=contender,
            seeds=[result.spec.seed for result in group],
            figures=_figures(group),
        )
        for (deployment, contender), group in groups.items()
    ]


def run_figures(result: RunResult) -> dict[str, float]:
    """Return the figures of a run by name with unit."""
    trainers = result.trainers
    refused = sum(result.desk_refused.values())
    return {
        "idle_s": mean_idle(result),
        "idle_worst_s": max(trainer.idle_s for trainer in trainers),
        "idle_least_s": _mean([trainer.least_idle_s for trainer in trainers]),
        "idle_fairness": fairness(trainers),
        "staleness_mean": mean_staleness(result),
        "staleness_p95": _mean([trainer.staleness_p95 for trainer in trainers]),
        "staleness_worst": max(trainer.staleness_mean for trainer in trainers),
        "past_bound": sum(trainer.past_bound for trainer in trainers),
        "duplicates": sum(trainer.duplicates for trainer in trainers),
        "unfinished": sum(not trainer.done for trainer in trainers),
        "desk_p50_s": result.desk_p50_s,
        "desk_p99_s": result.desk_p99_s,
        "desk_refused_share": refused / max(1, result.desk_sent),
        "region_megabytes": result.region_bytes / 1e6,
        "region_mbps": result.region_mean_bps / 1e6,
        "wasted_token_share": result.wasted_tokens / max(1.0, result.generated_tokens),
        "load": result.load,
        "offered_load": result.offered_load,
        "desk_load": result.desk_load,
        "orders": result.orders,
        "hedges": result.hedges,
        "resumes": result.resumes,
        "wall_s": result.wall_s,
    }


def mean_idle(result: RunResult) -> float:
    """Return the mean idle seconds of the trainers of a run."""
    return _mean([trainer.idle_s for trainer in result.trainers])


def mean_staleness(result: RunResult) -> float:
    """Return the mean staleness in versions over the trainers of a run."""
    return _mean([trainer.staleness_mean for trainer in result.trainers])


def fairness(trainers: list[TrainerResult]) -> float:
    """Return the longest idle time divided by the shortest; 1 is fair."""
    idle = [trainer.idle_s for trainer in trainers]
    return max(idle) / max(min(idle), 1e-9)


def _figures(group: list[RunResult]) -> dict[str, Spread]:
    rows = [run_figures(result) for result in group]
    return {name: _spread([row[name] for row in rows]) for name in rows[0]}


def _spread(values: list[float]) -> Spread:
    if len(values) == 1:
        return Spread(*(values * 5))
    low, _, high = quantiles(values, n=4, method="inclusive")
    return Spread(median(values), low, high, min(values), max(values))


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
