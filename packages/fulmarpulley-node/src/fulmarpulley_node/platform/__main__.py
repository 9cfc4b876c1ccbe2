"""Run a node on the platform, or report the faults of its settings."""

import os
import signal
import sys
from pathlib import Path

import msgspec
import uvloop

from fulmarpulley_schema.generated.rollout_settings import RolloutSettings

SETTINGS_VARIABLE = "FULMARPULLEY_NODE_FILE"
BAD_SETTINGS_EXIT = 2


def main() -> None:
    """Run a node with the settings file that the platform wrote."""
    # The platform sends SIGHUP when the settings change. The default action would end
    # the process, so the signal is ignored before the slow imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .app import serve

    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    uvloop.run(serve(read_settings(path)))


def read_settings(path: Path) -> RolloutSettings:
    """Read the settings, or print every fault and exit."""
    from fulmarpulley_schema.jsonc import strip_comments

    try:
        text = strip_comments(path.read_text(encoding="utf-8"))
        return msgspec.json.decode(text, type=RolloutSettings)
    except (OSError, UnicodeError, msgspec.DecodeError) as error:
        for line in _list_findings(path) or [f"{path}: {error}"]:
            print(line, file=sys.stderr)
        sys.exit(BAD_SETTINGS_EXIT)


def _list_findings(path: Path) -> list[str]:
    from fulmarpulley_schema import jsonc

    result = jsonc.load(path, RolloutSettings)
    return [jsonc.render(finding) for finding in result.err() or []]


if __name__ == "__main__":
    main()
