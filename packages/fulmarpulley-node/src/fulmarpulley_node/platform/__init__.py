"""Translate between the platform's wire protocols and the node's own types.

Only this package uses the platform's wire names. The platform's workers are the
upstreams of the other packages.
"""
