"""Run the daemon, or check its settings."""

import asyncio
import sys
from pathlib import Path

import aiomisc
import defopt
import uvloop
from result import Err, Ok, Result

from fulmarpulley_schema.codec import parse
from fulmarpulley_schema.generated.http import Finding
from fulmarpulley_schema.generated.settings import NodeSettings

from .app import Node
from .observe.events import EventFeed, log_event, start_logging

BAD_SETTINGS_EXIT = 2


def run(settings: Path) -> None:
    """Run a node until it is told to stop.

    :param settings: settings file in JSON with comments
    """
    node_settings = _settings_or_exit(settings)
    uvloop.run(serve(node_settings))


def check(settings: Path) -> None:
    """Check a settings file and print all its faults.

    :param settings: settings file in JSON with comments
    """
    node_settings = _settings_or_exit(settings)
    print(f"{settings}: settings of node {node_settings.node_id} are correct")


def main() -> None:
    """Run the command line."""
    defopt.run({"run": run, "check": check}, no_negated_flags=True)


async def serve(settings: NodeSettings) -> None:
    """Start all services and stop them after a graceful shutdown."""
    feed = EventFeed()
    start_logging(settings.node_id, feed)
    node = Node(settings, feed)
    loop = asyncio.get_running_loop()
    node.shutdown.install(loop)
    async with aiomisc.entrypoint(*node.services(), log_config=False, catch_signals=()):
        log_event("node_started", http_port=settings.http.port)
        await node.shutdown.run()
    log_event("node_stopped")


def read_settings(path: Path) -> Result[NodeSettings, list[Finding]]:
    """Read a settings file and collect all faults."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return Err([Finding(path="$", message=str(error), file=str(path))])
    return parse(text, NodeSettings)


def _settings_or_exit(path: Path) -> NodeSettings:
    done = read_settings(path)
    if isinstance(done, Ok):
        return done.ok_value
    for finding in done.err_value:
        line = "" if finding.line is None else f":{finding.line}"
        print(f"{path}{line}: {finding.path}: {finding.message}", file=sys.stderr)
    sys.exit(BAD_SETTINGS_EXIT)
