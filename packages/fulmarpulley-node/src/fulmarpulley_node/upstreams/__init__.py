"""Register the protocol dialects of upstreams."""

from . import engine, plain
from .dialects import UpstreamDialect, upstream_dialects

__all__ = ["UpstreamDialect", "engine", "plain", "upstream_dialects"]
