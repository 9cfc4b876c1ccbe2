"""Test that combinations of random faults lose no work."""

import tempfile
import unittest
from pathlib import Path

from fulmarpulley_testing.processes import Processes
from fulmarpulley_testing.soak import run_and_report

SEED = 12
SECONDS = 20.0


class SoakTest(unittest.TestCase):
    """Run the first rounds of one seed; `make soak` runs longer."""

    def test_random_faults_with_fixed_seed_yield_no_finding(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        processes = self.enterContext(Processes(folder))
        self.assertEqual(run_and_report(processes, SEED, SECONDS), 0)
