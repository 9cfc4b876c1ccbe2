"""Run the test modules of every package with nose2 and sum up their results."""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parents[3]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# The longest module takes about 70 s; a hung one must not hold CI up for long.
SUITE_TIMEOUT_S = 600
# More would let the processes of the whole-path tests compete for ten cores.
PARALLEL_SUITES = 4


class TestModule(msgspec.Struct):
    """Name a test module and the directory that it is imported from."""

    folder: Path
    name: str


class Suite(msgspec.Struct):
    """Hold the results of one test module."""

    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []


def main() -> int:
    """Run all suites, or those named on the command line, and print the sum."""
    names = sys.argv[1:]
    folders = [ROOT / name for name in names] if names else test_folders()
    modules = [module for folder in folders for module in test_modules(folder)]
    with ThreadPoolExecutor(PARALLEL_SUITES) as pool:
        suites = list(pool.map(run_suite, modules))
    known = known_red()
    failed = [name for suite in suites for name in suite.failed]
    passed = sum(len(suite.passed) for suite in suites)
    skipped = sum(len(suite.skipped) for suite in suites)
    new = [name for name in failed if name not in known]
    for name in failed:
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    counts = f"{passed} passed, {len(new)} failed"
    others = skipped + len(failed) - len(new)
    print(f"{counts}, {others} skipped" if others else counts)
    return 1 if new or not passed else 0


def test_folders() -> list[Path]:
    """List the test directories of the workspace."""
    # The whole-path tests take longest, so they start first.
    found = [ROOT / "testing" / "tests", ROOT / "bench" / "tests"]
    found += sorted(ROOT.glob("packages/*/tests"))
    return [folder for folder in found if any(folder.rglob("test_*.py"))]


def test_modules(folder: Path) -> list[TestModule]:
    """List the test modules of a directory."""
    found = sorted(folder.rglob("test_*.py"))
    return [
        TestModule(folder, ".".join(path.relative_to(folder).with_suffix("").parts))
        for path in found
    ]


def known_red() -> set[str]:
    """Read the names of tests that fail for a recorded, unfixed fault."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def run_suite(module: TestModule) -> Suite:
    """Run one test module in a process of its own."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "fulmarpulley_testing.runner_suite"]
        command += [str(module.folder), module.name, report.name]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        code = _run(command, environment)
        text = Path(report.name).read_text()
    if not text:
        place = f"{module.folder.relative_to(ROOT)}/{module.name}"
        return Suite(failed=[f"{place}: ended with code {code} and no report"])
    return msgspec.convert(json.loads(text), Suite)


def _run(command: Sequence[str], environment: dict[str, str]) -> int | str:
    try:
        done = subprocess.run(
            command, env=environment, check=False, timeout=SUITE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return f"timeout after {SUITE_TIMEOUT_S} s"
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
