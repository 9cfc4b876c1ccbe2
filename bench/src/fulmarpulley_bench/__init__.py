"""Benchmark policies, node processes and the cost of control operations."""
