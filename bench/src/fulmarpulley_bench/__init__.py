"""Measure policies, nodes and control cost."""
