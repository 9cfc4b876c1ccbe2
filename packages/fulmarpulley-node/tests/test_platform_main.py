"""Test that signals do not end a node while it starts."""

import subprocess
import sys
import unittest

BAD_SETTINGS_EXIT = 2
# Sends SIGHUP during the imports, which take most of a node's start-up time.
PROGRAM = """
import os, runpy, signal, sys

class Finder:
    @staticmethod
    def find_spec(name, path=None, target=None):
        if name == "fulmarpulley_node.platform.app":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder)
runpy.run_module("fulmarpulley_node.platform", run_name="__main__")
"""


class StartTest(unittest.TestCase):
    """Guards against a settings change that ends a node while it starts."""

    def test_sighup_during_imports_does_not_end_process(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM], check=False, capture_output=True
        )
        self.assertEqual(result.returncode, BAD_SETTINGS_EXIT, result.stderr)
