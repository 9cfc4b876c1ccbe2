"""Run a cluster of nodes and the stand-ins around it as processes."""

import itertools
from collections.abc import Callable
from contextlib import suppress
from http.client import HTTPException
from pathlib import Path
from typing import Any, TypeVar
from urllib.error import HTTPError

import msgspec

from fulmarpulley_schema import codec
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import DocumentEdit, DocumentState

from .checker import check_folder
from .findings import Report
from .history import HistoryReader
from .layout import (
    DESK,
    MODEL,
    TRAINER,
    TRAINING,
    ClusterSettings,
    Layout,
    Member,
    address_of,
)
from .processes import Process, Processes, call, wait_for

E = TypeVar("E")

NODE_MODULE = "fulmarpulley_node"
# Long enough that a busy machine delays a test but does not fail it.
EVENT_TIMEOUT_S = 60.0
END_TIMEOUT_S = 120.0


class Cluster:
    """Start nodes and stand-ins, edit documents and check the recorded history."""

    def __init__(self, processes: Processes, settings: ClusterSettings) -> None:
        self.processes = processes
        self.folder = processes.folder
        self.settings = settings
        self.layout = Layout(settings)
        self.leaving: set[str] = set()
        self.edits = itertools.count(1)
        self.clients: list[Process] = []
        self.reader = HistoryReader(self.folder)
        self.starting: dict[str, str] = {}

    def start(self) -> None:
        """Start all processes and put the service documents in force."""
        self.start_platform()
        for engine in [*self.layout.engines, *self.layout.desk_engines]:
            self.start_engine(engine)
        for plain in self.layout.plains:
            self.start_plain(plain)
        for node in self.layout.nodes:
            self.start_node(node)
        self.wait_ready()
        self.apply(self.layout.training_document())
        self.apply(self.layout.desk_document())
        if self.settings.desk_engines:
            self.apply(self.layout.engine_desk_document())

    def start_platform(self) -> None:
        """Start the log, weight store, instance list and scorer."""
        layout = self.layout
        list_path = self.folder / "instances.json"
        list_path.write_bytes(codec.to_json(layout.instance_list(set())))
        self.start_stand_in("log", "log_service", layout.log)
        self.start_stand_in("store", "weight_store", layout.store)
        self.start_stand_in("scorer", "scorer", layout.scorer)
        arguments = ("--file", str(list_path), "--lag-s", "0.5")
        self.start_stand_in("instances", "instance_list", layout.instances, *arguments)
        if self.settings.log_proxy:
            for node in layout.nodes:
                self.start_proxy(node)

    def start_stand_in(
        self, name: str, module: str, port: int, *arguments: str
    ) -> None:
        """Start a stand-in without waiting until it is ready."""
        program = f"fulmarpulley_testing.{module}"
        self.processes.start(name, program, "--port", str(port), *arguments)
        self.starting[name] = f"{address_of(port)}/control/ready"

    def wait_ready(self) -> None:
        """Wait until every process started so far is ready."""
        while self.starting:
            self.processes.wait_ready(*self.starting.popitem())

    def start_proxy(self, node: Member) -> None:
        """Start the fault proxy between a node and the log."""
        name = f"proxy-{node.name}"
        ports = {
            "--port": node.proxy_port,
            "--target-port": self.layout.log,
            "--control-port": node.proxy_control_port,
        }
        arguments = [str(part) for pair in ports.items() for part in pair]
        self.processes.start(name, "fulmarpulley_testing.fault_proxy", *arguments)
        control = address_of(node.proxy_control_port)
        self.starting[name] = f"{control}/control/ready"

    def start_engine(self, engine: Member) -> None:
        """Start an engine that serves version 0 of the weights."""
        arguments = ["--name", engine.name, "--history", self.history_path(engine.name)]
        arguments += ["--model", MODEL, "--swap-s", str(self.settings.swap_s)]
        arguments += ["--tokens-per-s", str(self.settings.tokens_per_s)]
        arguments += ["--weight-store", address_of(self.layout.store)]
        if self.settings.checks_fencing:
            arguments.append("--checks-fencing")
        self.start_stand_in(engine.name, "engine", engine.port, *arguments)

    def start_plain(self, plain: Member) -> None:
        """Start a plain service."""
        arguments = ["--name", plain.name, "--history", self.history_path(plain.name)]
        arguments += ["--delay-s", str(self.settings.plain_delay_s)]
        self.start_stand_in(plain.name, "plain_service", plain.port, *arguments)

    def start_node(self, node: Member) -> None:
        """Start a node without waiting until it is ready."""
        path = self.folder / f"{node.name}.settings.json"
        path.write_bytes(codec.to_json(self.layout.node_settings(node)))
        self.processes.start(node.name, NODE_MODULE, "run", str(path))
        self.starting[node.name] = f"{node.address()}/ready"

    def process(self, member: Member) -> Process:
        """Return the process of a member."""
        return self.processes.by_name[member.name]

    def history_path(self, name: str) -> str:
        """Return the path of the history file of a process."""
        return str(self.folder / f"{name}.jsonl")

    def live_nodes(self) -> list[Member]:
        """Return the nodes whose processes are running."""
        return [node for node in self.layout.nodes if self.process(node).running()]

    def wait_nodes(self) -> None:
        """Wait until all nodes are ready."""
        for node in self.layout.nodes:
            self.processes.wait_ready(node.name, f"{node.address()}/ready")

    def apply(self, document: ServiceDocument) -> int:
        """Put a document in force on all live nodes and return its revision."""
        revision = self.edit(document)
        self.wait_in_force(document.name, revision)
        return revision

    def edit(self, document: ServiceDocument) -> int:
        """Publish a document and return its revision."""
        edit = DocumentEdit(
            record_id=f"edit-{self.settings.seed}-{next(self.edits)}",
            base_revision=self.revision(document.name),
            author="test",
            document=codec.to_builtins(document),
        )
        return self.send_edit(edit, document.name)

    def revision(self, service: str) -> int:
        """Return the current revision of a service, or 0 when it is new."""
        try:
            return self.document_state(self.live_nodes()[0], service).revision
        except HTTPError as error:
            if error.code == 404:
                return 0
            raise

    def document_state(self, node: Member, service: str) -> DocumentState:
        """Return the document of a service as a node reports it."""
        state = call(f"{node.address()}/v1/documents/{service}")
        return msgspec.convert(state, DocumentState)

    def send_edit(self, edit: DocumentEdit, service: str) -> int:
        """Send an edit to the live nodes in turn until one accepts it."""
        accepted: list[DocumentState] = []
        nodes = itertools.cycle(self.live_nodes())

        def try_once() -> bool:
            url = f"{next(nodes).address()}/v1/documents/{service}"
            with suppress(OSError, HTTPException):
                state = call(url, "POST", codec.to_builtins(edit))
                accepted.append(msgspec.convert(state, DocumentState))
            return bool(accepted)

        wait_for(try_once, f"acceptance of {edit.record_id}", EVENT_TIMEOUT_S)
        return accepted[0].revision

    def wait_in_force(self, service: str, revision: int) -> None:
        """Wait until a revision is in force on all live nodes."""

        def in_force() -> bool:
            return all(
                self.revision_in_force(node, service) >= revision
                for node in self.live_nodes()
            )

        wait_for(in_force, f"revision {revision} of {service}", EVENT_TIMEOUT_S)

    def revision_in_force(self, node: Member, service: str) -> int:
        """Return the revision that a node reports as in force, or -1."""
        try:
            status = call(f"{node.address()}/v1/status")
        except (OSError, HTTPException):
            return -1
        found = [
            one["in_force"]
            for state in status["nodes"]
            for one in state["revisions"]
            if state["node_id"] == node.name and one["service"] == service
        ]
        return int(found[0]) if found else -1

    def mark_leaving(self, member: Member) -> None:
        """Mark a member as leaving on the instance list."""
        self.leaving.add(member.name)
        instance_list = self.layout.instance_list(self.leaving)
        url = f"{address_of(self.layout.instances)}/control/instances"
        call(url, "PUT", codec.to_builtins(instance_list))

    def start_trainer(self, **options: Any) -> Process:
        """Start a trainer of the training service."""
        defaults = {"service": TRAINING, "trainer": TRAINER, "model": MODEL}
        defaults["weight_store"] = address_of(self.layout.store)
        return self.start_client("trainer", "trainer", {**defaults, **options})

    def start_caller(self, **options: Any) -> Process:
        """Start a caller; by default of the plain desk and without streaming."""
        defaults: dict[str, Any] = {"service": DESK, "dialect": "plain"}
        defaults["stream_ratio"] = 0.0
        defaults["name"] = f"caller-{options.get('service', DESK)}"
        merged = {**defaults, **options}
        return self.start_client(merged["name"], "caller", merged)

    def start_client(self, name: str, module: str, options: dict[str, Any]) -> Process:
        """Start a client process that calls all nodes."""
        options = {
            "seed": self.settings.seed,
            "history": self.history_path(name),
        } | options
        arguments = [
            part
            for key, value in options.items()
            for part in (f"--{key.replace('_', '-')}", str(value))
        ]
        nodes = [node.address() for node in self.layout.nodes]
        program = f"fulmarpulley_testing.{module}"
        process = self.processes.start(name, program, "--nodes", *nodes, *arguments)
        self.clients.append(process)
        return process

    def records(self, kind: type[E]) -> list[E]:
        """Return all history records of a kind so far."""
        return [entry for entry in self.reader.read() if isinstance(entry, kind)]

    def wait_records(
        self,
        kind: type[E],
        count: int,
        where: Callable[[E], bool] = lambda _entry: True,
    ) -> None:
        """Wait until the history has a number of records of a kind."""

        def enough() -> bool:
            return sum(map(where, self.records(kind))) >= count

        self.wait_until(enough, f"{count} records of {kind.__name__}")

    def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds, for up to EVENT_TIMEOUT_S."""
        wait_for(condition, what, EVENT_TIMEOUT_S)

    def finish(self) -> Report:
        """Wait until all clients have ended and check the history."""
        for client in self.clients:
            client.wait(END_TIMEOUT_S)
        return check_folder(self.folder)


def start_cluster(processes: Processes, settings: ClusterSettings) -> Cluster:
    """Start a cluster and return it once its documents are in force."""
    cluster = Cluster(processes, settings)
    cluster.start()
    return cluster


def log_tails(folder: Path, size: int = 1500) -> str:
    """Return the end of each process log, to explain a failure."""
    tails = [f"--- {p.name}\n{p.read_text()[-size:]}" for p in folder.glob("*.log")]
    return "\n".join(tails)
