"""Implement the decision logic: no I/O, no clock, no random source of its own."""
