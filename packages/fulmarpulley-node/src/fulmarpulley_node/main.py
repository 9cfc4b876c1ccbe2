"""Run the node daemon, or check its settings file."""

import asyncio
import sys
from collections.abc import Iterator
from pathlib import Path

import aiomisc
import defopt
import uvloop
from result import Err, Ok, Result

from fulmarpulley_core.pool.routing import ROUTING
from fulmarpulley_schema import jsonc
from fulmarpulley_schema.generated.http import Finding
from fulmarpulley_schema.generated.settings import NodeSettings

from .app import Node
from .observe.events import EventFeed, log_event, start_logging
from .services import (
    instance_list_dialects,
    log_dialects,
    weight_store_dialects,
)

BAD_SETTINGS_EXIT = 2


def run(settings: Path) -> None:
    """Run a node until SIGTERM or SIGINT.

    :param settings: settings file in JSON with comments
    """
    node_settings = _settings_or_exit(settings)
    uvloop.run(serve(node_settings))


def check(settings: Path) -> None:
    """Check a settings file and print all its errors.

    :param settings: settings file in JSON with comments
    """
    node_settings = _settings_or_exit(settings)
    print(f"{settings}: settings of node {node_settings.node_id} are valid")


def main() -> None:
    """Run the command-line interface."""
    defopt.run({"run": run, "check": check}, no_negated_flags=True)


async def serve(settings: NodeSettings) -> None:
    """Run all services of a node until its graceful shutdown has finished."""
    feed = EventFeed()
    start_logging(settings.node_id, feed)
    node = Node(settings, feed)
    loop = asyncio.get_running_loop()
    node.shutdown.install_signal_handlers(loop)
    async with aiomisc.entrypoint(*node.services(), log_config=False, catch_signals=()):
        log_event("node_started", http_port=settings.http.port)
        await node.shutdown.run()
    log_event("node_stopped")


def read_settings(path: Path) -> Result[NodeSettings, list[Finding]]:
    """Read a settings file, or return all its errors."""
    loaded = jsonc.load(path, NodeSettings)
    if isinstance(loaded, Err):
        return loaded
    findings = list(_unknown_plugins(loaded.ok_value))
    return Err(findings) if findings else loaded


def _unknown_plugins(settings: NodeSettings) -> Iterator[Finding]:
    services = {
        "log": (settings.log, list(log_dialects)),
        "instance_list": (settings.instance_list, list(instance_list_dialects)),
        "weight_store": (settings.weight_store, list(weight_store_dialects)),
    }
    for name, (service, dialects) in services.items():
        if service is not None and service.dialect not in dialects:
            known = ", ".join(dialects)
            message = f"unknown dialect {service.dialect!r}; use one of: {known}"
            yield Finding(path=f"$.{name}.dialect", message=message)
    if settings.routing not in ROUTING:
        known = ", ".join(ROUTING)
        message = f"unknown routing policy {settings.routing!r}; use one of: {known}"
        yield Finding(path="$.routing", message=message)


def _settings_or_exit(path: Path) -> NodeSettings:
    result = read_settings(path)
    if isinstance(result, Ok):
        return result.ok_value
    for finding in result.err_value:
        finding.file = finding.file or str(path)
        print(jsonc.render(finding), file=sys.stderr)
    sys.exit(BAD_SETTINGS_EXIT)
