"""Run nodes with the stand-ins that a test needs, and call their interfaces."""

import json
from pathlib import Path
from typing import Any
from urllib import error, request

from .processes import Process, Processes, call, free_ports, is_responding, wait_for

LOOPBACK = "127.0.0.1"
CALL_TIMEOUT_S = 60.0


class Reply:
    """Hold the status and the decoded JSON body of a response."""

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


def http(url: str, method: str = "GET", body: Any = None) -> Reply:
    """Call a loopback address and return the response, whatever its status."""
    data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    outgoing = request.Request(url, data=data, method=method)
    try:
        with request.urlopen(outgoing, timeout=CALL_TIMEOUT_S) as answer:
            return Reply(answer.status, json.loads(answer.read() or b"null"))
    except error.HTTPError as http_error:
        return Reply(http_error.code, json.loads(http_error.read() or b"null"))


def stream(url: str, body: Any) -> list[tuple[str, Any]]:
    """Send a POST and return its server-sent events as pairs of name and data."""
    outgoing = request.Request(url, data=json.dumps(body).encode(), method="POST")
    with request.urlopen(outgoing, timeout=CALL_TIMEOUT_S) as answer:
        blocks = answer.read().decode().split("\n\n")[:-1]
    pairs = [block.split("\n") for block in blocks]
    return [(name[7:], json.loads(data[6:])) for name, data in pairs]


class NodeSystem:
    """Own the processes of one system; a context manager that ends them."""

    def __init__(self, folder: Path, **settings: Any) -> None:
        self.folder = folder
        self.processes = Processes(folder)
        self.settings = settings
        self.ports: dict[str, int] = {}
        self.peer_ports: dict[str, int] = {}
        self.instances: list[dict[str, str]] = []

    def __enter__(self) -> "NodeSystem":
        return self

    def __exit__(self, *exception: object) -> None:
        self.processes.__exit__(*exception)

    def url(self, name: str) -> str:
        """Return the HTTP address of a process."""
        return f"http://{LOOPBACK}:{self.ports[name]}"

    def start_stand_in(self, name: str, module: str, *arguments: str) -> Process:
        """Start the stand-in of a module and wait until it is ready."""
        if name not in self.ports:
            self.ports[name] = free_ports(1)[0]
        process = self.processes.start(
            name,
            f"fulmarpulley_testing.{module}",
            "--port",
            str(self.ports[name]),
            *arguments,
        )
        self.processes.wait_ready(name, f"{self.url(name)}/control/ready")
        return process

    def start_engine(self, name: str, *arguments: str) -> Process:
        """Start the stand-in of an engine."""
        history = str(self.folder / f"{name}.jsonl")
        common_arguments = ("--name", name, "--history", history)
        return self.start_stand_in(name, "engine", *common_arguments, *arguments)

    def start_platform(self) -> None:
        """Start the log and an empty instance list."""
        self.start_stand_in("log", "log_service")
        self.start_stand_in("list", "instance_list", "--lag-s", "0")

    def list_instance(
        self,
        name: str,
        kind: str = "node",
        state: str = "live",
        location: tuple[str, str] = ("cuba", "risaralda"),
    ) -> None:
        """Add an instance to the instance list or replace its entry."""
        peer = self.peer_ports.get(name)
        entry = {
            "id": name,
            "kind": kind,
            "state": state,
            "address": self.url(name),
            "peer_address": "" if peer is None else f"{LOOPBACK}:{peer}",
            "data_centre": location[0],
            "region": location[1],
        }
        self.instances = [i for i in self.instances if i["id"] != name] + [entry]
        self.write_instance_list()

    def write_instance_list(self) -> None:
        """Replace the content of the instance list."""
        body = {"instances": self.instances}
        call(f"{self.url('list')}/control/instances", "PUT", body)

    def start_nodes(self, count: int) -> list[str]:
        """Start nodes and wait until each is ready and sees all others alive."""
        names = [f"node-{number}" for number in range(count)]
        for name in names:
            self.start_node(name)
        for name in names:
            self.wait_ready(name)
        wait_for(
            lambda: all(self._sees_alive_nodes(n, count) for n in names), "membership"
        )
        return names

    def start_node(self, name: str, **settings: Any) -> Process:
        """Add a node to the instance list and start it."""
        if name not in self.ports:
            self.ports[name], self.peer_ports[name] = free_ports(2)
        self.list_instance(name)
        content = {
            "node_id": name,
            "data_centre": "cuba",
            "region": "risaralda",
            "http": {"host": LOOPBACK, "port": self.ports[name]},
            "peer": {"host": LOOPBACK, "port": self.peer_ports[name]},
            "log": {"address": self.url("log")},
            "instance_list": {"address": self.url("list")},
            "balancer_lag_s": 0.2,
            "seed": 1,
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(content | self.settings | settings))
        module = "fulmarpulley_node"
        return self.processes.start(name, module, "run", str(path))

    def wait_ready(self, name: str) -> None:
        """Wait until a node is ready."""
        self.processes.wait_ready(name, f"{self.url(name)}/ready")

    def publish(
        self, node: str, document: dict[str, Any], base: int = 0, record: str = ""
    ) -> Reply:
        """Publish a document on top of a base revision through a node."""
        name = document["name"]
        edit = {
            "record_id": record or f"{name}-{base}",
            "base_revision": base,
            "author": "operator",
            "document": document,
        }
        return http(f"{self.url(node)}/v1/documents/{name}", "POST", edit)

    def wait_revision(self, nodes: list[str], service: str, revision: int) -> None:
        """Wait until a revision is in force on all nodes."""

        def in_force() -> bool:
            return all(self._in_force_revision(n, service) >= revision for n in nodes)

        wait_for(in_force, f"revision {revision} of {service}")

    def upstream_entry(self, name: str, **fields: Any) -> dict[str, Any]:
        """Return an upstream entry of a service document."""
        entry = {
            "id": name,
            "address": self.url(name),
            "data_centre": "cuba",
            "region": "risaralda",
        }
        return entry | fields

    def _sees_alive_nodes(self, name: str, count: int) -> bool:
        status = http(f"{self.url(name)}/v1/status").body
        alive = [n for n in status["nodes"] if n["state"] == "alive"]
        return len(alive) == count

    def _in_force_revision(self, node: str, service: str) -> int:
        if not is_responding(f"{self.url(node)}/live"):
            return 0
        status = http(f"{self.url(node)}/v1/status?node=self").body
        revisions = status["nodes"][0]["revisions"]
        found = [r["in_force"] for r in revisions if r["service"] == service]
        return int(found[0]) if found else 0
