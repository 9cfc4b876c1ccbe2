"""Dispatch the work of one pool shard to its upstreams."""
