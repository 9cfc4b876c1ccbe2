"""Decide what nodes do that keep their state on the platform's log."""
