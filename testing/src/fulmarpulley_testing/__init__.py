"""Provide stand-ins for the platform, upstreams, trainers and callers in tests."""
