"""Run the claim partitions, pool shards and trainer steps assigned to this node.

The node that owns one of them by rendezvous hash is called its home.
"""
