"""Register the commands of the client."""

from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from .exits import ExitCode

C = TypeVar("C", bound=Callable[..., Coroutine[Any, Any, ExitCode] | ExitCode])

COMMANDS: dict[str, Callable[..., Any]] = {}


def command(function: C) -> C:
    """Register a function as a command under its own name."""
    COMMANDS[function.__name__] = function
    return function
