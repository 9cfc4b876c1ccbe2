"""Start nodes with the deploy file's command against stand-ins in this process."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web
from fulmarpulley_testing.platform_store import (
    OPERATOR_TOPIC,
    SERVER_TOPIC,
    PlatformStore,
)
from fulmarpulley_testing.ports import free_ports

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "ficu95.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Values of the small sites' sheets.
PARTITIONS = 8
BOUNDS = {
    "drain_ms": 2500,
    "grace_s": 8,
    "lease_ms": 3000,
    "status_retention_s": 120,
}
CONFIG_APPLY_S = 2.5
SETTLE_S = 1.0
START_TIMEOUT_S = 30.0


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def __call__(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class NodeProcess:
    """Run one node, as `deploy/system.toml` says."""

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.folder = folder
        self.port, self.readiness_port, metrics_port = free_ports(3)
        # What deploy/settings.jsonc.template makes of a platform's settings.
        settings = {
            "node_id": name,
            "data_centre": "chipre",
            "region": "caldas",
            "regions": {"chipre": "caldas", "palermo": "caldas", "cuba": "risaralda"},
            "callers": f"{LOOPBACK}:{self.port}",
            "readiness": f"{LOOPBACK}:{self.readiness_port}",
            "metrics": f"{LOOPBACK}:{metrics_port}",
            "log": {
                "address": f"{LOOPBACK}:{store_port}",
                "partitions": PARTITIONS,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "member_ttl_ms": 1000,
            },
            "bounds": BOUNDS,
        }
        self.settings_path = folder / f"{name}.jsonc"
        self.settings_path.write_text(json.dumps(settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ} | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SSL_CERT_FILE": "/dev/null",
            "AIOMISC_NO_PLUGINS": "1",
            "FULMARPULLEY_NODE_FILE": str(self.settings_path),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "fulmarpulley_node.platform"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_lines(self, text: str) -> list[str]:
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace")
        return [line for line in lines.splitlines() if text in line]


class Deployment:
    """Own the store, the stand-ins and the nodes of one case."""

    def __init__(self, record: Record, folder: Path, store: PlatformStore) -> None:
        self.record = record
        self.folder = folder
        self.store = store
        self.nodes: list[NodeProcess] = []
        self.runners: list[web.AppRunner] = []
        self.store_port = 0
        self.config_version = 0

    async def start_store(self) -> None:
        self.store_port = await self.serve(self.store.app())

    async def serve(self, app: web.Application) -> int:
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        (port,) = free_ports(1)
        await web.TCPSite(runner, LOOPBACK, port).start()
        self.runners.append(runner)
        return port

    async def start_nodes(self, count: int) -> None:
        for number in range(count):
            node = NodeProcess(
                f"front-chipre-{number + 1}", self.folder, self.store_port
            )
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await wait_for(lambda node=node: is_ready(node), f"{node.name} is ready")

    async def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        self.config_version += 1
        await self.store.put(
            OPERATOR_TOPIC,
            "config",
            {
                "Version": self.config_version,
                "Routes": routes,
                "Services": services,
                "Limits": {"MaxBodyBytes": 33554432, "IdleTimeoutMs": 15000},
            },
        )
        names = ", ".join(f"{r['Name']} -> {r['Service']}" for r in routes)
        self.record(f"configuration {self.config_version} acknowledged: {names}")

    async def list_worker(self, worker_id: str, entry: dict[str, Any]) -> None:
        await self.store.put(SERVER_TOPIC, worker_id, entry)

    async def close(self) -> None:
        for node in self.nodes:
            node.kill()
        for runner in self.runners:
            await runner.cleanup()


def new_session() -> aiohttp.ClientSession:
    """Return a session that opens a new channel for each call."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0),
        timeout=aiohttp.ClientTimeout(total=15.0),
    )


async def is_ready(node: NodeProcess) -> bool:
    url = f"http://{LOOPBACK}:{node.readiness_port}/-/readiness"
    try:
        async with new_session() as session, session.get(url) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def wait_for(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"not within {timeout_s} s: {what}")
        await asyncio.sleep(0.05)


def run_case(
    case_folder: Path,
    trouble: bool,
    case: Callable[[Deployment, Record], Awaitable[list[str]]],
    store: PlatformStore | None = None,
) -> None:
    """Run a case, which returns the breaks of its rule, and exit with its result."""
    # A case that is stopped from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(case_folder)
    record(f"trouble={'yes' if trouble else 'no'}")

    async def play() -> list[str]:
        with tempfile.TemporaryDirectory() as name:
            deployment = Deployment(
                record, Path(name), store or PlatformStore(PARTITIONS)
            )
            try:
                await deployment.start_store()
                async with asyncio.timeout(105.0):
                    return await case(deployment, record)
            finally:
                await deployment.close()

    try:
        breaks = asyncio.run(play())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    for text in breaks:
        record(f"BROKEN {text}")
    record(f"{len(breaks)} breaks of the rule")
    print(f"{len(breaks)} breaks of the rule")
    sys.exit(BROKEN if breaks else HELD)
