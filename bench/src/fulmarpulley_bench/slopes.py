"""Measure how the cost of each role scales, for docs/CAPACITY.md."""

from datetime import UTC, datetime
from pathlib import Path

import defopt
import msgspec

from . import (
    slope_claims,
    slope_config,
    slope_fold,
    slope_members,
    slope_node,
    slope_pool,
    slope_steps,
)
from .measure import MEASUREMENTS, Series
from .policy import RESULTS, ROOT, describe_commit

# Importing these modules registers their measurements.
MODULES = (
    slope_claims,
    slope_config,
    slope_fold,
    slope_members,
    slope_node,
    slope_pool,
    slope_steps,
)


class SlopeReport(msgspec.Struct, kw_only=True):
    """Hold the measured slopes and what is needed to repeat them."""

    commit: str
    time: str
    series: list[Series]


def main(*, only: list[str] = [], output: str | None = None) -> None:  # noqa: B006 - defopt reads the default, never changes it
    """Measure costs over sizes; write and print their linear fits.

    :param only: measurements to run, by default all
    :param output: file of the results, by default one in bench/results/
    """
    all_series: list[Series] = []
    for name in only or list(MEASUREMENTS):
        for series in MEASUREMENTS.get(name)():
            all_series.append(series)
            print(format_series(series), flush=True)
    report = SlopeReport(
        commit=describe_commit(ROOT),
        time=datetime.now(UTC).isoformat(timespec="seconds"),
        series=all_series,
    )
    path = Path(output) if output else RESULTS / f"slopes-{report.commit[:10]}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n")
    print(f"results={path}")


def format_series(series: Series) -> str:
    """Format a series as a line."""
    points = " ".join(f"{point.size:g}:{point.value:.4g}" for point in series.points)
    fit = (
        f"slope={series.slope:.4g} intercept={series.intercept:.4g} r2={series.r2:.3f}"
    )
    return (
        f"{series.name} unit={series.unit!r} by={series.size_name}"
        f" {fit} points={points}"
    )


if __name__ == "__main__":
    defopt.run(main)
