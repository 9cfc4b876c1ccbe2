"""Show the status and the events of the nodes."""

from collections.abc import Sequence

from fulmarpulley_schema.generated.http import SystemStatus

from .client import Client, client_settings
from .exits import ExitCode
from .output import print_json, print_line, print_table
from .registry import command


@command
async def status(
    *,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Show the status of nodes, revisions, pools and upstreams.

    :param nodes: addresses of nodes
    :param timeout_s: time limit for retries, in seconds
    :param json: print JSON
    """
    async with Client(client_settings(nodes, timeout_s)) as client:
        system = await client.get("/v1/status", SystemStatus)
    if json:
        print_json(system)
    else:
        _print_status(system)
    return ExitCode.OK


@command
async def tail(
    *,
    nodes: Sequence[str] = (),
    service: str = "",
) -> ExitCode:
    """Print the events of one node as they occur.

    :param nodes: addresses of nodes; only the first one is used
    :param service: print only events of this service
    """
    async with Client(client_settings(nodes, 0.0)) as client:
        async for line in client.stream_events("/v1/events"):
            if not service or f"service={service}" in line.split():
                print_line(line)
    return ExitCode.OK


def _print_status(system: SystemStatus) -> None:
    print_table(
        ("node", "region", "data centre", "state", "ready", "log", "problem"),
        [
            (
                node.node_id,
                node.region,
                node.data_centre,
                node.state,
                "yes" if node.ready else "no",
                "ok" if node.log_ok else "down",
                node.problem,
            )
            for node in system.nodes
        ],
    )
    print_line("")
    print_table(
        ("node", "service", "accepted", "in force", "problem"),
        [
            (node.node_id, item.service, item.accepted, item.in_force, item.problem)
            for node in system.nodes
            for item in node.revisions
        ],
    )
    print_line("")
    print_table(
        ("service", "shard", "home", "upstream", "state", "in flight", "versions"),
        [
            (
                pool.service,
                pool.shard,
                pool.home,
                upstream.id,
                upstream.state,
                upstream.in_flight,
                " ".join(f"{k}={v}" for k, v in sorted(upstream.versions.items())),
            )
            for node in system.nodes
            for pool in node.pools
            for upstream in pool.upstreams
        ],
    )
