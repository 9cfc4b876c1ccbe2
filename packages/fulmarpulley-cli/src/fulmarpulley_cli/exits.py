"""Define the exit codes of the client."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Name how a command ended."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5
    REFUSED = 6


class CommandError(Exception):
    """End a command with an exit code and a message for the operator."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
