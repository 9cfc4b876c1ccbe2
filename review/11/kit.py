"""Start the project's nodes and the stand-ins of one case, and end them again."""

import http.client
import json
import os
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
STANDINS = Path(__file__).resolve().parent
HOST = "ficu95.example"
LOT = "/pufi791/"
DESK = "/lohu930/"
MODELS = ("m0", "m1")
# As on the sheet of emsm-colchon: 2.15 cores are 0.717 of 3 cores.
MEMORY_MB = 340
RESTART_S = 1.0
DISTURBED = os.environ.get("TROUBLE", "1") != "0"
PASSED, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 115


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nothing listens on."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def call(
    port: int,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.0,
) -> tuple[int, bytes]:
    """Send a request on a new channel; the status is 0 if there is no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body, {"Host": HOST, **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error).encode()
    finally:
        connection.close()


def render(template: str, fields: dict) -> str:
    """Fill in a template as DEPLOY.md tells it."""

    def find(name: str) -> object:
        value: object = fields
        for part in name.split(".") if name != "." else []:
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
    while section.search(template):
        template = section.sub(
            lambda m: m[2] if find(m[1]) not in (None, False, []) else "", template
        )

    def value(match: re.Match) -> str:
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Node:
    """Hold one machine: the process of the system on it, and its memory."""

    def __init__(self, case: "Case", name: str, memory_mb: int) -> None:
        self.case, self.name, self.memory_mb = case, name, memory_mb
        self.front, self.ready, self.metrics = free_ports(3)
        self.process: subprocess.Popen | None = None
        self.peak_mb = 0
        self.kills: list[float] = []
        self.starts = 0
        template = (ROOT / "deploy" / "settings.jsonc.template").read_text()
        fields = {
            "NodeName": name,
            "Ip": "127.0.0.1",
            "Zone": "chipre",
            "Region": "caldas",
            "Zones": {"chipre": "caldas", "cuba": "risaralda", "palermo": "caldas"},
            "Listen": {
                "Front": f"127.0.0.1:{self.front}",
                "Ready": f"127.0.0.1:{self.ready}",
            },
            "Limits": {"CpuShare": 0.717, "Cores": 3, "MemoryMb": memory_mb},
            "Bounds": {
                "DrainMs": 2500,
                "GraceS": 8,
                "StatusRetentionS": 120,
                "FencingRequired": True,
                "LeaseMs": 3000,
            },
            "Platform": {
                "Address": f"127.0.0.1:{case.store_port}",
                "parts": 8,
                "RecordBytes": 262144,
                "CallBytes": 2097152,
                "TtlMinMs": 1000,
            },
        }
        text = render(template, fields)
        # Several machines share the loopback address, so each has its own port.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{self.metrics}")
        self.settings = case.folder / f"{name}.jsonc"
        self.settings.write_text(text)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = role["roles"]["node"]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            **role["env"],
            "PYTHONPATH": str(DEPS),
            "FULMARPULLEY_NODE_FILE": str(self.settings),
        }
        log = (self.case.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log,
            preexec_fn=self._limit_descriptors,
        )
        self.starts += 1

    def _limit_descriptors(self) -> None:
        if self.case.descriptors is not None:
            limit = self.case.descriptors
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def rss_mb(self) -> int:
        """Return the resident memory of the process."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) // 1024 if found else 0

    def is_ready(self) -> bool:
        """Ask the node as the platform does once a second."""
        return call(self.ready, "GET", "/-/readiness", timeout_s=1.0)[0] == 200


class Case:
    """Own all processes of a case and its record."""

    def __init__(self, folder: str) -> None:
        self.started_at = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.record_file = (Path(folder) / "record.txt").open("w", buffering=1)
        self.lock = threading.Lock()
        self.children: list[subprocess.Popen] = []
        self.nodes: list[Node] = []
        self.workers: dict[str, subprocess.Popen] = {}
        (self.store_port,) = free_ports(1)
        self.watching = True
        self.kill_over_memory = False
        # Descriptors of a process of the system; None for those of this process.
        self.descriptors: int | None = None
        self.config_version = 0
        self.record(f"TROUBLE={int(DISTURBED)}")

    def __enter__(self) -> "Case":
        return self

    def __exit__(self, *_error: object) -> None:
        self.watching = False
        time.sleep(0.2)
        processes = [n.process for n in self.nodes if n.process] + self.children
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def record(self, text: str) -> None:
        """Write a line of the record."""
        with self.lock:
            passed = time.monotonic() - self.started_at
            self.record_file.write(f"{passed:8.3f} {text}\n")

    def start_module(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a stand-in as a process of its own."""
        environment = {**os.environ, "PYTHONPATH": str(DEPS)}
        log = (self.folder / f"{name}-{len(self.children)}.out").open("ab")
        process = subprocess.Popen(
            [sys.executable, str(STANDINS / f"{name}.py"), *arguments],
            env=environment, stdout=log, stderr=log,
        )
        self.children.append(process)
        return process

    def start_store(self) -> None:
        """Start the platform's store."""
        self.start_module("store", "--port", str(self.store_port))
        self.wait(lambda: call(self.store_port, "GET", "/")[0] != 0, 10, "the store")

    def start_worker(self, name: str, service: str, **options: object) -> None:
        """Start a worker, which registers itself in the store."""
        (port,) = free_ports(1)
        flags = [f"--{k.replace('_', '-')}={v}" for k, v in options.items()]
        self.workers[name] = self.start_module(
            "worker", f"--port={port}", f"--store={self.store_port}",
            f"--name={name}", f"--service={service}",
            f"--log={self.folder / 'runs.jsonl'}", *flags,
        )

    def start_nodes(self, count: int, memory_mb: int = MEMORY_MB) -> None:
        """Start machines of the system and wait until all report ready."""
        for number in range(count):
            node = Node(self, f"front-chipre-{number + 1}", memory_mb)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            self.wait(node.is_ready, 20, f"{node.name} to be ready")
        threading.Thread(target=self._watch_memory, daemon=True).start()

    def put(self, topic: str, key: str, value: object) -> None:
        """Write as the operator or a trainer."""
        path = f"/control/put?topic={topic}&key={key}"
        call(self.store_port, "POST", path, json.dumps(value).encode())

    def configure(self, desk_timeout_ms: int = 3000, **changes: object) -> None:
        """Write the next version of the configuration."""
        self.config_version += 3
        engine = {
            "Slots": 12, "KvCacheTokens": 34744, "Stride": 52,
            "Models": [{"Name": m} for m in MODELS],
        }
        rollout = {
            "Name": "r-lot", "Host": HOST, "PathPrefix": LOT, "RouteKind": "rollout",
            "TimeoutMs": 10000, "TargetLatencyMs": 500, "Priority": 1,
            "Service": "comfort-llm", "MaxAttempts": 3, "RetentionS": 40.0,
            "ResultDeadlineMs": 7500, "StickySessions": True, "Resumable": True,
        }
        desk = {
            "Name": "r-desk", "Host": HOST, "PathPrefix": DESK, "RouteKind": "safe",
            "TimeoutMs": desk_timeout_ms, "TargetLatencyMs": 192, "Priority": 2,
            "Service": "trial-desk", "MaxAttempts": 2,
        }
        config = {
            "Version": self.config_version,
            "Routes": [rollout, desk],
            "Services": [
                {"Name": "comfort-llm", "HealthPath": "/health", "Engine": engine,
                 "ConnectionLimit": 150},
                {"Name": "trial-desk", "HealthPath": "/health",
                 "ConnectionLimit": 96},
            ],
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432,
                "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
            },
        }
        self.put("keyed.op", "config", config | changes)

    def wait(self, check, seconds: float, what: str) -> None:
        """Wait until a check holds; the case can't run if it never does."""
        deadline = time.monotonic() + seconds
        while not check():
            if time.monotonic() > deadline:
                raise CannotRun(f"waited {seconds} s for {what}")
            time.sleep(0.1)

    def runs(self) -> list[dict]:
        """Return what the workers wrote."""
        path = self.folder / "runs.jsonl"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def _watch_memory(self) -> None:
        """Kill a process that exceeds its memory, and start it again, as the pages say."""
        restarts: dict[Node, float] = {}
        while self.watching:
            now = time.monotonic()
            for node in self.nodes:
                if node in restarts:
                    if now >= restarts[node] and self.watching:
                        del restarts[node]
                        node.start()
                        self.record(f"{node.name} starts again")
                    continue
                used = node.rss_mb()
                node.peak_mb = max(node.peak_mb, used)
                if used > node.memory_mb:
                    node.kills.append(now - self.started_at)
                    self.record(
                        f"{node.name} uses {used} MB of {node.memory_mb} MB"
                        + (": killed" if self.kill_over_memory else "")
                    )
                    if self.kill_over_memory:
                        node.process.kill()
                        node.process.wait()
                        restarts[node] = now + RESTART_S
                elif node.process.poll() is not None:
                    self.record(f"{node.name} ended: {node.process.returncode}")
                    restarts[node] = now + RESTART_S
            time.sleep(0.1)


class CannotRun(Exception):
    """Say why a case could not run."""


def run(main, folder: str) -> None:
    """Run a case and exit with its result."""
    if not (DEPS / "aiohttp").exists():
        print("target/deps is missing: run the build of the deploy file first")
        sys.exit(NOT_RUN)

    def end(number: int, _frame: object) -> None:
        raise CannotRun(f"ended by signal {number}")

    # Also a case that is ended early, or takes too long, ends its processes.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, end)
    signal.alarm(LONGEST_S)
    with Case(folder) as case:
        try:
            result = main(case)
        except Exception as error:
            case.record(f"could not run: {error!r}")
            result = NOT_RUN
        signal.alarm(0)
        case.record(f"result {result}")
    # Threads that still wait for an answer must not hold up the end.
    sys.stdout.flush()
    os._exit(result)
