"""Stand in for the platform, upstreams, trainers and callers in tests."""
