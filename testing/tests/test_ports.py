"""Test the allocation of ports to concurrent tests."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from fulmarpulley_testing.ports import free_ports


class FreePortsTest(unittest.TestCase):
    def test_threads_get_distinct_ports(self) -> None:
        # Two faults requested ports at the same time, which aborted soak seed 48.
        with ThreadPoolExecutor(16) as pool:
            found = list(pool.map(lambda _: free_ports(3), range(400)))
        ports = [port for part in found for port in part]
        self.assertEqual(len(set(ports)), len(ports))
