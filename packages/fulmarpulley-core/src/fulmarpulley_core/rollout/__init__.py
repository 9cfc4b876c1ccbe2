"""Implement the decision logic of nodes that keep their state on the platform's log."""
