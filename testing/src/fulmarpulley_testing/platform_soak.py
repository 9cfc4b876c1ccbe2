"""Run nodes against stand-ins of the platform under random faults and check them.

Each node is a process of its own, and faults are injected from outside: by signals, by
proxies on its connections to the store and the workers, by shifted clocks and by
stand-ins that misbehave.
"""

import asyncio
import itertools
import random
import sys
import tempfile
import threading
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

import defopt
import msgspec

# Register faults and checks.
from . import (  # noqa: F401
    platform_changes,
    platform_crashes,
    platform_limits,
)
from .fault_proxy import FaultProxy
from .findings import Finding
from .output import print_flushed
from .platform_accounts import KEYS_CHANGED, REVOKE_MS
from .platform_checks import CheckContext, check_all
from .platform_clients import CallerClient, Client, Trainer
from .platform_documents import ACCOUNT_KEYS, DESK, ENGINES, MODEL
from .platform_duties import (
    PLACES,
    Place,
    SoakDuties,
    duty_faults,
    random_of_duties,
)
from .platform_faults import FaultContext, platform_faults
from .platform_history import PlatformHistory, RemovedKey
from .platform_store import OPERATOR_TOPIC
from .platform_system import RESTART_S, NodeProcess, PlatformSystem
from .platform_worker import PlatformWorker
from .ports import free_ports
from .processes import NotReadyError, exit_on_sigterm, wait_for
from .serving import LOOPBACK

# All steps must be complete and all nodes ready within this time after the last fault.
# Ejected upstreams are probed after 4 s, lapsed entries disappear after 2 s, and the
# items of a step then run for some seconds.
RECOVERY_TIMEOUT_S = 40.0

# With few slots items have to queue. An item takes 0.6 s, so that faults interrupt some
# streams, and a load of weights takes half of that.
WORKER_SLOTS = 4
EVENTS_PER_ITEM = 20
EVENT_S = 0.03
WEIGHT_LOAD_S = 0.3


class SoakSettings(msgspec.Struct, kw_only=True):
    """Hold the sizes of a soak."""

    seed: int = 1
    nodes: int = 5
    engines: int = 4
    desks: int = 3
    trainers: int = 2
    callers: int = 4
    faults_at_once: int = 3
    faults_per_round: int = 6
    lease_ms: float = 1000.0
    accounts: bool = False
    duties: bool = False


class SoakSystem:
    """Own the nodes, the stand-ins and the proxies between them."""

    def __init__(self, folder: Path, settings: SoakSettings) -> None:
        self.folder = folder
        self.settings = settings
        self.platform = PlatformSystem(folder)
        if settings.accounts:
            self.platform.account_keys = {n: list(k) for n, k in ACCOUNT_KEYS.items()}
        self.history = PlatformHistory()
        self.store_proxies: dict[str, FaultProxy] = {}
        self.worker_proxies: dict[str, FaultProxy] = {}
        self.worker_listeners: dict[str, asyncio.Server] = {}
        self.entries: dict[str, Any] = {}
        self.workers_started = 0
        self.version = 1
        self.config_lock = threading.Lock()
        self.duties = SoakDuties(self) if settings.duties else None

    def __enter__(self) -> Self:
        """Start stand-ins, proxies and nodes, and wait until all nodes are ready."""
        self.platform.__enter__()
        settings = self.settings
        if self.duties is not None:
            self.duties.serve()
        for service, count in ((ENGINES, settings.engines), (DESK, settings.desks)):
            for _ in range(count):
                self.add_worker(service)
        self.platform.configure()
        for number in range(settings.nodes):
            self._add_node(f"n{number}")
        for node in self.nodes:
            wait_for(node.is_ready, f"readiness of {node.name}")
        return self

    def __exit__(self, *error: object) -> None:
        """Stop the nodes and the stand-ins."""
        if self.duties is not None:
            self.duties.closed = True
        self.platform.__exit__(*error)

    @property
    def nodes(self) -> list[NodeProcess]:
        """Return all nodes."""
        return self.platform.nodes

    @property
    def workers(self) -> dict[str, PlatformWorker]:
        """Return all workers by name, including those that have left."""
        return self.platform.workers

    def workers_of(self, service: str) -> list[str]:
        """Return the names of the listed workers of a service."""
        return [n for n, e in self.entries.items() if e["Service"] == service]

    def add_worker(self, service: str, place: Place | None = None) -> str:
        """Start a worker behind a proxy and list it."""
        self.workers_started += 1
        name = f"{service}-{self.workers_started}"
        worker = PlatformWorker(name, [MODEL] if service == ENGINES else [])
        worker.versions = dict.fromkeys(worker.versions, self.version)
        worker.slots = WORKER_SLOTS
        worker.events_per_item = EVENTS_PER_ITEM
        worker.event_s = EVENT_S
        worker.load_s = WEIGHT_LOAD_S
        worker.deadly_bodies = self.platform.deadly_bodies
        worker.crash = lambda: self._crash_worker(name, service)
        port = self.platform.serve(worker.app())
        self.workers[name] = worker
        proxy, listener = self._proxy(port)
        self.worker_proxies[name], self.worker_listeners[name] = proxy, listener
        address = f"{LOOPBACK}:{proxy.port}"
        if place is None:
            spread = self.duties is not None and service == ENGINES
            place = PLACES[self.workers_started % 2 if spread else 0]
        entry = worker.entry(service, address, place.data_centre, worker.slots)
        self.update_entry(name, {**entry, "Spot": True} if place.spot else entry)
        return name

    def _crash_worker(self, name: str, service: str) -> None:
        """Close the sockets of a worker and start another one in its place."""
        listener = self.worker_listeners.pop(name, None)
        if listener is not None:
            listener.close()
            self.worker_proxies[name].abort_connections()
            threading.Timer(RESTART_S, self._replace_worker, (name, service)).start()

    def _replace_worker(self, name: str, service: str) -> None:
        self.update_entry(name, None)
        self.add_worker(service)

    def update_entry(self, name: str, entry: Any) -> None:
        """Write the entry of a worker to the store; None removes it."""
        if entry is None:
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.platform.put_worker_entry(name, entry)

    def write_bytes(self, topic: str, key: str, data: bytes) -> None:
        """Write a record of another writer to the store."""
        self.platform.run(self.platform.store.put_bytes(topic, key, data))

    def add_route(self) -> None:
        """Write the next version of the configuration, with one more route."""
        with self.config_lock:
            prefix = f"/added/{len(self.history.added_routes)}/"
            self.platform.add_route(prefix)
            self.history.added_routes[prefix] = time.monotonic()

    def change_keys(self, rng: random.Random) -> None:
        """Write the next configuration, with one key less or more."""
        history = self.history
        with self.config_lock:
            accounts = self.platform.account_keys or {}
            account = rng.choice(list(accounts))
            keys = accounts[account]
            if len(keys) > 1 and rng.random() < 0.5:
                key = keys.pop(rng.randrange(1, len(keys)))
                self.platform.configure()
                history.removed_keys.append(
                    RemovedKey(account=account, key=key, removed_at=time.monotonic())
                )
                return
            absent = [
                each
                for each in history.removed_keys
                if each.account == account and each.restored_at == float("inf")
            ]
            if absent and rng.random() < 0.5:
                returning = rng.choice(absent)
                key, returning.restored_at = returning.key, time.monotonic()
            else:
                key = f"key-of-{account}-added-{len(history.added_keys)}"
            keys.append(key)
            self.platform.configure()
            history.added_keys[key] = time.monotonic()

    def refresh_entries(self) -> None:
        """Update the entries to the versions that workers serve, as heartbeats do."""
        for name, entry in list(self.entries.items()):
            served = self.workers[name].versions
            models = [{"Name": m, "Version": v} for m, v in served.items()]
            if entry["Models"] != models:
                self.update_entry(name, {**entry, "Models": models})

    async def set_target_version(self, version: int) -> None:
        """Write the version that engines shall load, unless a newer one was written."""
        if version > self.version:
            self.version = version
            value = {"Model": MODEL, "Version": version}
            await self.platform.store.put(OPERATOR_TOPIC, f"version/{MODEL}", value)

    def _add_node(self, name: str) -> None:
        proxy, _ = self._proxy(self.platform.store_port)
        self.store_proxies[name] = proxy
        lease_ms = self.settings.lease_ms
        revoke_ms = REVOKE_MS if self.settings.accounts else None
        duties = {}
        if self.duties is not None:
            duty_proxy, _ = self._proxy(self.duties.port)
            self.duties.proxies[name] = duty_proxy
            duties = self.duties.node_settings(duty_proxy.port)
        node = NodeProcess(name, self.folder, proxy.port, lease_ms, revoke_ms, duties)
        if self.settings.accounts:
            node.key = next(keys[0] for keys in ACCOUNT_KEYS.values())
        self.platform.nodes.append(node)
        node.start()

    def _proxy(self, target_port: int) -> tuple[FaultProxy, asyncio.Server]:
        (port,) = free_ports(1)
        proxy = FaultProxy(port, target_port)
        listener = self.platform.run(asyncio.start_server(proxy.accept, LOOPBACK, port))
        return proxy, listener


class Soak:
    """Run traffic and rounds of faults for a given time."""

    def __init__(self, system: SoakSystem) -> None:
        self.system = system
        self.settings = system.settings
        self.random = random.Random(self.settings.seed)
        self.duty_random = random_of_duties(self.settings.seed)

    def run(self, seconds: float) -> list[str]:
        """Run rounds until a finding or the end of the time; return all findings."""
        deadline = time.monotonic() + seconds
        traffic = asyncio.run_coroutine_threadsafe(
            self._traffic(), self.system.platform.loop
        )
        for number in itertools.count(1):
            self._round(number)
            if traffic.done():
                traffic.result()
            found = self._check(final=False)
            if found or time.monotonic() > deadline:
                break
        if self.system.duties is not None:
            self.system.duties.wait_until_settled(RECOVERY_TIMEOUT_S)
        self.system.history.stopping = True
        traffic.result(RECOVERY_TIMEOUT_S)
        return self._report(number)

    def choose_faults(self) -> list[str]:
        """Choose the faults of a round; those of duties do not change the others."""
        optional = {KEYS_CHANGED, *duty_faults}
        names = self.random.choices(
            [name for name in platform_faults if name not in optional],
            k=self.settings.faults_per_round,
        )
        if self.settings.accounts:
            names = [KEYS_CHANGED, *names, KEYS_CHANGED]
        if self.settings.duties:
            first, *others = self.duty_random.sample(sorted(duty_faults), 4)
            names = [first, *names[:3], *others, *names[3:]]
        return names

    def _round(self, number: int) -> None:
        names = self.choose_faults()
        print_flushed(f"round {number}: {' '.join(names)}")
        context = FaultContext(self.system, self.random.randrange(2**32))
        context.run_all(names, self.settings.faults_at_once)
        self.system.refresh_entries()
        for node in self.system.nodes:
            wait_for(node.is_ready, f"readiness of {node.name}", RECOVERY_TIMEOUT_S)

    async def _traffic(self) -> None:
        seed = self.settings.seed
        trainers: list[Client] = [
            Trainer(self.system, f"t{number}", random.Random(f"{seed}/t{number}"))
            for number in range(self.settings.trainers)
        ]
        callers: list[Client] = [
            CallerClient(self.system, f"c{number}", random.Random(f"{seed}/c{number}"))
            for number in range(self.settings.callers)
        ]
        await asyncio.gather(*(client.run() for client in (*trainers, *callers)))

    def _check(self, final: bool) -> list[Finding]:
        system = self.system
        lease_s = self.settings.lease_ms / 1000
        context = CheckContext(
            system.history,
            system.workers,
            lease_s,
            self.settings.nodes,
            system.duties,
        )
        return check_all(context, final)

    def _report(self, rounds: int) -> list[str]:
        found = [
            f"{finding.fault.value} {finding.subject}: {finding.detail}"
            for finding in self._check(final=True)
        ]
        for line in found:
            print_flushed(line)
        history = self.system.history
        if self.system.duties is not None:
            print_flushed(self.system.duties.summary())
        print_flushed(
            f"platform soak seed={self.settings.seed} rounds={rounds} "
            f"steps={len(history.steps)} answers={history.answers()} "
            f"findings={len(found)}"
        )
        return found


def run_soak(folder: Path, settings: SoakSettings, seconds: float) -> list[str]:
    """Run a soak; print and return its findings or the reason why it stopped."""
    with SoakSystem(folder, settings) as system:
        try:
            return Soak(system).run(seconds)
        except (NotReadyError, TimeoutError) as fault:
            print_flushed(f"platform soak seed={settings.seed} stopped: {fault}")
            return [f"stopped: {fault}"]


def main(
    *,
    seed: int = 1,
    seconds: float = 60.0,
    nodes: int = 5,
    accounts: bool = False,
    duties: bool = False,
    keep: str = "",
) -> None:
    """Run random faults for some seconds; exit with 1 when a check found a violation.

    :param accounts: Whether clients have accounts and send keys.
    :param duties: Whether the nodes report usage and order engines.
    :param keep: Folder for the logs of the nodes; a temporary one when empty.
    """
    exit_on_sigterm()
    with ExitStack() as stack:
        folder = Path(keep or stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        settings = SoakSettings(
            seed=seed, nodes=nodes, accounts=accounts, duties=duties
        )
        found = run_soak(folder, settings, seconds)
        sys.exit(1 if found else 0)


if __name__ == "__main__":
    defopt.run(main)
