"""Define the exit codes of the client and the error that carries one."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate the exit codes of the commands."""

    OK = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    NOT_IN_FORCE = 4
    UNREACHABLE = 5
    REFUSED = 6


class CommandError(Exception):
    """Abort a command with an exit code and a message for the operator."""

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code
