"""A small deployment on loopback addresses: a store, workers, nodes and clients.

The store is the project's own stand-in. Workers and clients are written here, so that
a case decides on every byte that a node gets. Nothing here is part of the product.
"""

import asyncio
import contextlib
import json
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from aiohttp import web

from fulmarpulley_testing.platform_store import PlatformStore
from fulmarpulley_testing.ports import free_ports

REPOSITORY = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
PARTITIONS = 8
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20.0
DRAIN_MS = 2500
GRACE_S = 8
SETTLE_MS = 1000


class Record:
    """Write what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: Path) -> None:
        self.started = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started

    def add(self, what: str, **fields: Any) -> None:
        """Write one event."""
        line = {"at_s": round(self.now(), 4), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()


class Head:
    """Hold the first line, the headers and the body of a request or response."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Head | None:
    """Read a message with a length or in chunks; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = raw.decode("latin-1")[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Head(first, headers, body)


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"HTTP/1.1 {status} -", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[["Channel", Head], Awaitable[None]]


class Channel:
    """Hold one channel of a worker; `stale` is sent before the next response."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.number = number
        self.stale = b""

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()


class Worker:
    """Listen on a port and pass the requests of each channel to a handler."""

    def __init__(
        self, deployment: "Deployment", name: str, service: str, handler: Handler
    ) -> None:
        self.deployment = deployment
        self.name = name
        self.service = service
        self.handler = handler
        (self.port,) = free_ports(1)
        self.slots = 6
        self.state = "ready"
        self.listed = True
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.models: list[dict[str, Any]] = []
        self.server: asyncio.Server | None = None
        self.channels: set[Channel] = set()
        self.opened = 0
        self.heartbeat: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and write the entry to the store periodically."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        await self.put()
        self.heartbeat = asyncio.create_task(self._beat())

    async def put(self) -> None:
        """Write the entry to the store; its return is the acknowledgement."""
        self.sequence += 1
        entry: dict[str, Any] = {
            "Service": self.service,
            "Address": f"{LOOPBACK}:{self.port}",
            "Zone": "chipre",
            "Version": "1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        if self.models:
            entry |= {"Stage": "both", "Models": self.models}
        await self.deployment.store.put("keyed.servers", self.name, entry)

    async def remove_entry(self) -> None:
        """Remove the entry from the store."""
        self.listed = False
        await self.deployment.store.put("keyed.servers", self.name, None)

    async def drain(self) -> None:
        """Report the state `draining`."""
        self.state = "draining"
        await self.put()
        self.deployment.record.add("draining acknowledged", worker=self.name)

    async def exit(self) -> None:
        """End as a process does: no listener, all channels reset."""
        self.deployment.record.add("worker exits", worker=self.name)
        if self.heartbeat is not None:
            self.heartbeat.cancel()
        if self.server is not None:
            self.server.close()
        for channel in list(self.channels):
            channel.writer.transport.abort()
        if self.listed:
            await self.remove_entry()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.listed:
                await self.put()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        channel = Channel(reader, writer, self.opened)
        self.channels.add(channel)
        with contextlib.suppress(OSError, EOFError):
            while (request := await read_message(reader)) is not None:
                await self.handler(channel, request)
        self.channels.discard(channel)
        writer.close()


class Node:
    """Run the program of the deploy file as one process."""

    def __init__(self, deployment: "Deployment", name: str) -> None:
        self.name = name
        self.deployment = deployment
        self.port, self.ready_port, self.metrics_port = free_ports(3)
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict[str, Any]:
        """Return the settings that the template gives on a small deployment."""
        return {
            "node_id": self.name,
            "data_centre": "chipre",
            "region": "caldas",
            "regions": {"chipre": "caldas", "palermo": "caldas", "cuba": "risaralda"},
            "callers": f"{LOOPBACK}:{self.port}",
            "readiness": f"{LOOPBACK}:{self.ready_port}",
            "metrics": f"{LOOPBACK}:{self.metrics_port}",
            "log": {
                "address": f"{LOOPBACK}:{self.deployment.store_port}",
                "partitions": PARTITIONS,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "member_ttl_ms": 1000,
            },
            "bounds": {
                "drain_ms": DRAIN_MS,
                "grace_s": GRACE_S,
                "lease_ms": 3000,
                "status_retention_s": 120,
                "fencing_required": True,
            },
            "instance": {"memory_mb": 340, "cores": 3, "cpu_share": 0.717},
        }

    async def start(self) -> None:
        """Start the process with the command and variables of the deploy file."""
        folder = self.deployment.folder
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()), encoding="utf-8")
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = deploy["roles"]["node"]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            **role["env"],
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "FULMARPULLEY_NODE_FILE": str(path),
        }
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.deployment.record.add("node started", node=self.name)

    async def wait_ready(self) -> None:
        """Wait until the node answers the status check of the entry with 200."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, self.ready_port
                )
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    self.deployment.record.add("node ready", node=self.name)
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.deployment.record.add("signal", node=self.name, signal=number.name)
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self.deployment.folder / f"{self.name}.log").read_text()


class Client:
    """Hold one channel to a node and send requests on it, one at a time."""

    def __init__(self, node: Node, receive_bytes: int = 0) -> None:
        self.node = node
        self.receive_bytes = receive_bytes
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        deadline_ms: int = 0,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request, on a new channel if there is none."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                LOOPBACK, self.node.port
            )
        fields = {"Host": HOST, **(headers or {})}
        if request_id:
            fields["Request-Id"] = request_id
        if deadline_ms:
            fields["Deadline-Ms"] = str(deadline_ms)
        fields["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await self.writer.drain()

    async def receive(self) -> Head | None:
        """Read an answer; None if the channel ends without a complete one."""
        assert self.reader is not None
        try:
            answer = await read_message(self.reader)
        except (OSError, EOFError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    """Own the store, the workers and the nodes of one run."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.store = PlatformStore(PARTITIONS)
        self.store_port = 0
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self.temporary.name)
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        self.config_version = 0
        self.runner: web.AppRunner | None = None

    async def __aenter__(self) -> "Deployment":
        (self.store_port,) = free_ports(1)
        self.runner = web.AppRunner(
            self.store.app(), access_log=None, shutdown_timeout=0.1
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, LOOPBACK, self.store_port).start()
        return self

    async def __aexit__(self, *_error: object) -> None:
        for node in self.nodes:
            await node.kill()
            if os.environ.get("KEEP_LOGS"):
                Path(os.environ["KEEP_LOGS"], f"{node.name}.log").write_text(node.log())
        for worker in self.workers:
            if worker.heartbeat is not None:
                worker.heartbeat.cancel()
            if worker.server is not None:
                worker.server.close()
            for channel in list(worker.channels):
                channel.writer.transport.abort()
        if self.runner is not None:
            await self.runner.cleanup()
        self.temporary.cleanup()

    async def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write the next version of the configuration."""
        self.config_version += 1
        limits = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 33554432,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        value = {
            "Version": self.config_version,
            "Routes": routes,
            "Services": services,
            "Limits": limits,
        }
        await self.store.put("keyed.op", "config", value)
        self.record.add("configuration acknowledged", version=self.config_version)

    async def add_worker(self, name: str, service: str, handler: Handler) -> Worker:
        """Start a worker."""
        worker = Worker(self, name, service, handler)
        self.workers.append(worker)
        await worker.start()
        return worker

    async def add_nodes(self, count: int) -> list[Node]:
        """Start nodes and wait until all are ready."""
        added = [Node(self, f"front-{len(self.nodes) + n + 1}") for n in range(count)]
        self.nodes += added
        for node in added:
            await node.start()
        for node in added:
            await node.wait_ready()
        return added


def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> Any:
    """Return a route of the operator's configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": prefix,
        "RouteKind": kind,
        "Service": service,
        "TimeoutMs": 10000,
        "TargetLatencyMs": 500,
        "Priority": 2,
        "MaxAttempts": 2,
        **fields,
    }


def answer_headers(worker: Worker, request: Head, **headers: str) -> dict[str, str]:
    """Return the headers of a worker's own answer to a request."""
    request_id = request.headers.get("request-id", "")
    return {
        "Request-Id": request_id,
        "Server-Stamp": f"{worker.name}.{request_id}",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }


def refusal_headers(request: Head, **headers: str) -> dict[str, str]:
    """Return the headers of an answer that says that the request was not run."""
    return {
        "Request-Id": request.headers.get("request-id", ""),
        "Not-Executed": "1",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }


def is_meant_for(worker: Worker, request: Head) -> bool:
    """Tell whether a worker is the one that the request names, if it names one."""
    return request.headers.get("expected-instance", worker.name) == worker.name


def run_case(main: Callable[[bool], Awaitable[bool]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        # Ends the nodes also when the script is asked to stop.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main(trouble)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
