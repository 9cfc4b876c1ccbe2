"""Run nodes as processes against stand-ins of the platform within this process."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Coroutine
from http.client import HTTPConnection
from pathlib import Path
from typing import Any, Self, TypeVar

import msgspec
from aiohttp import web

from .platform_documents import (
    DESK,
    ENGINES,
    HOST,
    MODEL,
    ROLLOUT_PREFIX,
    configuration,
    submission,
    tenants,
)
from .platform_store import OPERATOR_TOPIC, SERVER_TOPIC, PlatformStore
from .platform_worker import PlatformWorker
from .ports import free_ports
from .processes import wait_for
from .serving import LOOPBACK

T = TypeVar("T")
PARTITIONS = 4
MEMBER_TTL_MS = 600
CALL_TIMEOUT_S = 10.0
# Workers that crashed start again under another id after this time.
RESTART_S = 1.0
SETTINGS_VARIABLE = "FULMARPULLEY_NODE_FILE"


class Answer(msgspec.Struct):
    """Hold an HTTP response of a node."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the JSON body."""
        return json.loads(self.body)


class NodeProcess:
    """Configure and control the process of one node."""

    def __init__(
        self,
        name: str,
        folder: Path,
        store_port: int,
        lease_ms: float = 100.0,
        revoke_ms: float | None = None,
        duties: dict[str, Any] | None = None,
        instance: dict[str, float] | None = None,
    ) -> None:
        self.name = name
        self.revoke_ms = revoke_ms
        self.lease_ms = lease_ms
        self.duties = duties or {}
        self.instance = instance or {}
        self.caller_port, self.readiness_port, self.metrics_port = free_ports(3)
        # Sent with each call that has no credentials of its own, unless it is empty.
        self.key = ""
        self.log_path = folder / f"{name}.log"
        self.clock_shift_path = folder / f"{name}.clock"
        self.settings_path = folder / f"{name}.jsonc"
        self.settings_path.write_text(json.dumps(self._settings(store_port)))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, with its wall clock under control of a file."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.settings_path)}
        wrapper = ["fulmarpulley_testing.shifted_clock", str(self.clock_shift_path)]
        command = [sys.executable, "-m", *wrapper, "fulmarpulley_node.platform"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log
            )

    @property
    def running(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also a suspended one, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request on a new connection; underscores in headers become hyphens."""
        connection = HTTPConnection(LOOPBACK, self.caller_port, timeout=CALL_TIMEOUT_S)
        header_fields = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        if self.key:
            header_fields.setdefault("Authorization", f"Bearer {self.key}")
        try:
            connection.request(method, path, body, {"Host": HOST, **header_fields})
            response = connection.getresponse()
            answer_headers = {k.lower(): v for k, v in response.getheaders()}
            return Answer(response.status, answer_headers, response.read())
        finally:
            connection.close()

    def is_ready(self) -> bool:
        """Tell whether the node reports that the balancer may send it requests."""
        connection = HTTPConnection(LOOPBACK, self.readiness_port, timeout=1.0)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def events(self, name: str) -> list[str]:
        """Return the log lines of an event, by its name."""
        lines = self.log_path.read_text().splitlines()
        return [line for line in lines if line.startswith(f"event={name} ")]

    def _settings(self, store_port: int) -> dict[str, Any]:
        return {
            "node_id": self.name,
            "data_centre": "a1",
            "region": "a",
            "regions": {"a1": "a", "b1": "b"},
            "callers": f"{LOOPBACK}:{self.caller_port}",
            "readiness": f"{LOOPBACK}:{self.readiness_port}",
            "metrics": f"{LOOPBACK}:{self.metrics_port}",
            "log": {
                "address": f"{LOOPBACK}:{store_port}",
                "partitions": PARTITIONS,
                "member_ttl_ms": MEMBER_TTL_MS,
            },
            **self.duties,
            "instance": self.instance,
            "bounds": {
                **self.duties.get("bounds", {}),
                "lease_ms": self.lease_ms,
                "grace_s": 8.0,
                "revoke_ms": self.revoke_ms,
            },
        }


class PlatformSystem:
    """Own the stand-ins, their event loop and the nodes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.store = PlatformStore(PARTITIONS)
        self.workers: dict[str, PlatformWorker] = {}
        # Entries of workers as they were first written.
        self.entries: dict[str, Any] = {}
        self.nodes: list[NodeProcess] = []
        self.runners: list[web.AppRunner] = []
        self.sites: dict[str, web.TCPSite] = {}
        self.deadly_bodies: set[bytes] = set()
        # Times at which workers crashed.
        self.crashes: list[float] = []
        self.store_port = 0
        # Settings of the duties of nodes that are added later.
        self.duties: dict[str, Any] = {}
        # What the instances of nodes have that are added later.
        self.instance: dict[str, float] = {}
        self.config_version = 0
        self.added_routes: list[dict[str, Any]] = []
        # Keys of the client accounts by name; None for a deployment without accounts.
        self.account_keys: dict[str, list[str]] | None = None
        # Scaling limits of the engines; None if they are not scaled.
        self.scaling: dict[str, Any] | None = None
        # Settings of the nodes that are added.
        self.revoke_ms: float | None = None

    def __enter__(self) -> Self:
        """Start the event loop and the store."""
        self.thread.start()
        self.store_port = self.run(self._serve(self.store.app()))
        return self

    def __exit__(self, *_error: object) -> None:
        """Kill the nodes and stop the stand-ins."""
        for node in self.nodes:
            node.kill()
        for runner in self.runners:
            self.run(runner.cleanup())
        # asyncio streams report the cancellation of their handlers as an error.
        self.loop.set_exception_handler(lambda _loop, _fault: None)
        self.run(_cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the event loop of the stand-ins and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(CALL_TIMEOUT_S)

    def add_worker(self, name: str, service: str = ENGINES) -> PlatformWorker:
        """Start a worker and write its entry to the store."""
        worker = self.run(self._start_worker(name, service, *free_ports(1)))
        self.put_worker_entry(name, self.entries[name])
        return worker

    async def _start_worker(self, name: str, service: str, port: int) -> PlatformWorker:
        models = [] if service == DESK else [MODEL]
        worker = PlatformWorker(name, models)
        worker.deadly_bodies = self.deadly_bodies
        worker.crash = lambda: self._crash(name, service, port)
        self.sites[name] = await self._listen(worker.app(), port)
        self.workers[name] = worker
        self.entries[name] = worker.entry(service, f"{LOOPBACK}:{port}", "a1", 4)
        return worker

    def crash_worker(self, name: str) -> None:
        """Crash a worker, which starts again under another id."""
        self.loop.call_soon_threadsafe(self.workers[name].crash)

    def _crash(self, name: str, service: str, port: int) -> None:
        """Close the sockets of a worker like the end of its process does."""
        site = self.sites.pop(name, None)
        if site is None:
            return
        self.crashes.append(time.monotonic())
        self.loop.create_task(self._end_site(site))
        self.loop.create_task(self._restart(name, service, port))

    async def _end_site(self, site: web.TCPSite) -> None:
        await site.stop()
        server = site._runner.server
        assert server is not None
        for handler in server.connections:
            if handler.transport is not None:
                handler.transport.abort()

    async def _restart(self, name: str, service: str, port: int) -> None:
        await asyncio.sleep(RESTART_S)
        successor = await self._start_worker(f"{name}+", service, port)
        successor.event_s = self.workers[name].event_s
        await self.store.put(SERVER_TOPIC, name, None)
        entry = self.entries[successor.name]
        await self.store.put(SERVER_TOPIC, successor.name, entry)

    def put_worker_entry(self, name: str, entry: Any) -> None:
        """Write the entry of a worker to the store; None removes it."""
        self.run(self.store.put(SERVER_TOPIC, name, entry))

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration, with changed fields."""
        self.config_version += 1
        config = configuration(self.config_version)
        config["Routes"] += self.added_routes
        if self.account_keys is not None:
            config["Tenants"] = tenants(self.account_keys)
        if self.scaling is not None:
            config["Services"][0]["Scaling"] = self.scaling
        self.run(self.store.put(OPERATOR_TOPIC, "config", {**config, **changes}))

    def add_route(self, prefix: str) -> None:
        """Write the next version, which has one more route to the desk service."""
        desk = next(r for r in configuration(0)["Routes"] if r["Service"] == DESK)
        name = f"r-{len(self.added_routes)}"
        self.added_routes.append({**desk, "Name": name, "PathPrefix": prefix})
        self.configure()

    def set_target_version(self, version: int) -> None:
        """Write the model version that engines shall load, as the trainer does."""
        value = {"Model": MODEL, "Version": version}
        self.run(self.store.put(OPERATOR_TOPIC, f"version/{MODEL}", value))

    def add_node(
        self, name: str, wait: bool = True, lease_ms: float = 100.0
    ) -> NodeProcess:
        """Start a node and wait until it is ready, unless told not to."""
        node = NodeProcess(
            name,
            self.folder,
            self.store_port,
            lease_ms,
            self.revoke_ms,
            self.duties,
            self.instance,
        )
        self.nodes.append(node)
        node.start()
        if wait:
            wait_for(node.is_ready, f"readiness of {name}")
        return node

    def owner(self, service: str = ENGINES) -> NodeProcess | None:
        """Return the node that owns the partition of a service and runs its items."""
        # Imported here, since these are packages under test.
        from fulmarpulley_core.ids import ServiceName
        from fulmarpulley_node.rollout.partitions import partition_of

        partition = partition_of(ServiceName(service), PARTITIONS)
        member = self.store.owner("homes", partition) or ""
        return next((n for n in self.nodes if member.startswith(n.name + "/")), None)

    def runs_of_body(self, body: bytes) -> list[Any]:
        """Return the runs of all requests with a body, sorted by time."""
        runs = [run for w in list(self.workers.values()) for run in w.runs]
        return sorted((r for r in runs if r.body == body), key=lambda r: r.started)

    def all_runs(self, request_id: str) -> list[Any]:
        """Return the runs of a request on all workers."""
        runs = [run for w in self.workers.values() for run in w.runs]
        return [run for run in runs if run.request_id == request_id]

    def serve(self, app: web.Application) -> int:
        """Serve an application on a free port and return the port."""
        return self.run(self._serve(app))

    async def _serve(self, app: web.Application) -> int:
        (port,) = free_ports(1)
        await self._listen(app, port)
        return port

    async def _listen(self, app: web.Application, port: int) -> web.TCPSite:
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        site = web.TCPSite(runner, LOOPBACK, port)
        await site.start()
        self.runners.append(runner)
        return site


async def _cancel_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def submit(
    node: NodeProcess,
    step: str,
    items: int,
    min_version: int = 1,
    rewards: bool = False,
) -> Answer:
    """Submit a step to a node."""
    body = submission(step, items, min_version, rewards=rewards)
    return node.call("POST", f"{ROLLOUT_PREFIX}{step}", body, Request_Id=step)


def results(node: NodeProcess, step: str, after: int = 0) -> Any:
    """Read the results of a step from a position; `Total` is -1 after an error."""
    path = f"/-/lots/{step}?After={after}"
    answer = node.call("GET", path, Wait_Ms="200")
    if answer.status != 200:
        return {"Total": -1, "Results": [], "status": answer.status}
    return answer.json()


def wait_results(node: NodeProcess, step: str, count: int) -> list[Any]:
    """Wait until a node returns at least a number of results, and return them."""
    found: list[Any] = []

    def enough() -> bool:
        found[:] = results(node, step)["Results"]
        return len(found) >= count

    wait_for(enough, f"{count} results of {step}")
    return found


def settle(seconds: float) -> None:
    """Sleep, so that a change that must not happen would have time to show."""
    time.sleep(seconds)
