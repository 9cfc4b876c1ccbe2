"""Decide without input, output, clocks or randomness of its own."""
