"""Parse the command line and run a command."""

import asyncio
import inspect
import sys
from collections.abc import Sequence

import defopt

from . import documents, edits, observe, trace  # noqa: F401  (they register the commands)
from .client import NodeError
from .exits import CommandError, ExitCode
from .output import print_findings
from .registry import COMMANDS


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = defopt.run(
            list(COMMANDS.values()),
            argv=argv,
            no_negated_flags=True,
            argparse_kwargs={"prog": "fulmarpulley"},
        )
        if inspect.iscoroutine(result):
            result = asyncio.run(result)
        return int(result)
    except CommandError as error:
        _print_error(str(error))
        return error.code
    except NodeError as error:
        _print_error(f"{error.body.code}: {error}")
        print_findings(error.body.findings, as_json=False)
        return ExitCode.REFUSED
    except KeyboardInterrupt:
        return ExitCode.OK


def _print_error(message: str) -> None:
    sys.stderr.write(f"fulmarpulley: {message}\n")


if __name__ == "__main__":
    sys.exit(main())
