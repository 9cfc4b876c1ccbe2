"""Register the protocol dialects of the platform's services."""

from . import http
from .dialects import (
    instance_list_dialects,
    log_dialects,
    scoring_dialects,
    weight_store_dialects,
)

__all__ = [
    "http",
    "instance_list_dialects",
    "log_dialects",
    "scoring_dialects",
    "weight_store_dialects",
]
