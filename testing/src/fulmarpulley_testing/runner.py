"""Run the test modules of every package with nose2 and summarise the results."""

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
KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
# Modules take up to about 70 s; a hung one must not block CI for long.
MODULE_TIMEOUT_S = 600
# With more, the processes of the end-to-end tests would compete for ten cores.
PARALLEL_MODULES = 4


class TestModule(msgspec.Struct):
    """Identify a test module by its name and the directory it is imported from."""

    folder: Path
    name: str


class ModuleResults(msgspec.Struct):
    """Hold the test names of one module by outcome."""

    passed: list[str] = []
    failed: list[str] = []
    skipped: list[str] = []


def main() -> int:
    """Run all test directories, or those given as arguments, and print the totals."""
    names = sys.argv[1:]
    folders = [ROOT / name for name in names] if names else test_folders()
    modules = [module for folder in folders for module in test_modules(folder)]
    with ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        results = list(pool.map(run_module, modules))
    known = known_failures()
    failed = [name for module_results in results for name in module_results.failed]
    passed = sum(len(module_results.passed) for module_results in results)
    skipped = sum(len(module_results.skipped) for module_results in results)
    new_failures = [name for name in failed if name not in known]
    for name in failed:
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    counts = f"{passed} passed, {len(new_failures)} failed"
    not_counted = skipped + len(failed) - len(new_failures)
    print(f"{counts}, {not_counted} skipped" if not_counted else counts)
    return 1 if new_failures or not passed else 0


def test_folders() -> list[Path]:
    """List the test directories of the workspace."""
    # The end-to-end tests take longest, so they start first.
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


def known_failures() -> set[str]:
    """Read from KNOWN-RED.txt the tests that fail for a known, unfixed fault."""
    if not KNOWN_FAILURES.exists():
        return set()
    lines = KNOWN_FAILURES.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def run_module(module: TestModule) -> ModuleResults:
    """Run one test module in a separate process."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "fulmarpulley_testing.runner_suite"]
        command += [str(module.folder), module.name, report.name]
        environment = {**os.environ, "PYTHONHASHSEED": "0"}
        code = _run(command, environment)
        text = Path(report.name).read_text()
    if not text:
        label = f"{module.folder.relative_to(ROOT)}/{module.name}"
        return ModuleResults(failed=[f"{label}: ended with code {code} and no report"])
    return msgspec.convert(json.loads(text), ModuleResults)


def _run(command: Sequence[str], environment: dict[str, str]) -> int | str:
    try:
        done = subprocess.run(
            command, env=environment, check=False, timeout=MODULE_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return f"timeout after {MODULE_TIMEOUT_S} s"
    return done.returncode


if __name__ == "__main__":
    sys.exit(main())
