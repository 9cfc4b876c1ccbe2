"""Run one test module with nose2 and write its results to a JSON file."""

import sys
from pathlib import Path

import msgspec
from hypothesis import settings
from nose2 import discover

from .runner import ROOT
from .runner_plugin import ResultCollector


def run(folder: Path, module: str, report: Path) -> None:
    """Run one test module and write its results to the report file."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    ResultCollector.prefix = str(folder.relative_to(ROOT))
    discover(
        argv=["nose2", "-s", str(folder), "-t", str(folder), module],
        plugins=[ResultCollector.__module__],
        exit=False,
    )
    report.write_bytes(msgspec.json.encode(ResultCollector.results))


if __name__ == "__main__":
    run(Path(sys.argv[1]), sys.argv[2], Path(sys.argv[3]))
