"""Run training steps on a node that keeps its state on the platform's log."""
