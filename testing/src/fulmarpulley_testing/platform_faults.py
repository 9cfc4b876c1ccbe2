"""Inject faults into the nodes of a soak and into their surroundings."""

import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import TYPE_CHECKING

from fulmarpulley_core.registry import Registry

from .fault_proxy import Direction, FaultProxy
from .platform_documents import DESK, ENGINES
from .platform_history import FaultWindow, WindowKind
from .platform_store import StoreMode
from .platform_system import NodeProcess
from .platform_worker import AnswerTruncation, PlatformWorker
from .processes import wait_for

if TYPE_CHECKING:
    from .platform_soak import SoakSystem

MIN_FAULT_S = 0.5
MAX_FAULT_S = 5.0
STOP_GRACE_S = 8.0
DOWNTIME_S = 0.5
SLOW_FACTOR = 4.0
STORE_DELAY_S = 0.3
LINK_DELAY_S = 0.1
ORDER_DELAY_S = 2.0
FIRST_EVENT_DELAY_S = 2.5
CLOCK_SHIFT_S = 2.0
# A worker keeps running for this time after its entry says that it drains.
DRAIN_PERIOD_S = 4.0

PlatformFault = Callable[["FaultContext"], None]
platform_faults: Registry[PlatformFault] = Registry("fault on the platform")


class FaultContext:
    """Provide the faults of one round with the system and a random generator."""

    def __init__(self, system: "SoakSystem", seed: int) -> None:
        self.system = system
        self.seed = seed
        self.random = random.Random(seed)
        self.reserved: set[str] = set()
        self.lock = threading.Lock()

    def run_all(self, names: list[str], concurrency: int) -> None:
        """Run the named faults, up to `concurrency` of them at the same time."""
        with ThreadPoolExecutor(concurrency) as pool:
            contexts = [self._derive(index) for index in range(len(names))]
            futures = [
                pool.submit(platform_faults.get(name), context)
                for name, context in zip(names, contexts, strict=True)
            ]
            for future in futures:
                future.result()

    def _derive(self, index: int) -> "FaultContext":
        child = FaultContext(self.system, hash((self.seed, index)))
        child.reserved, child.lock = self.reserved, self.lock
        return child

    def sleep_fault_duration(self) -> None:
        """Sleep for the random duration of a fault."""
        time.sleep(self.random.uniform(MIN_FAULT_S, MAX_FAULT_S))

    @contextmanager
    def window(self, kind: WindowKind, subject: str = "") -> Iterator[None]:
        """Record the period in which a fault is active."""
        window = FaultWindow(kind=kind, subject=subject, begin=time.monotonic())
        self.system.history.windows.append(window)
        try:
            yield
        finally:
            window.end = time.monotonic()

    @contextmanager
    def node(self, kind: WindowKind) -> Iterator[NodeProcess | None]:
        """Reserve a random node and record the fault; None if all are in use."""
        names = [node.name for node in self.system.nodes]
        with self.reserve(names) as name:
            found = next((n for n in self.system.nodes if n.name == name), None)
            if found is None:
                yield None
                return
            with self.window(kind, found.name):
                yield found

    @contextmanager
    def reserve(self, names: list[str]) -> Iterator[str | None]:
        """Reserve a random name that no other fault uses; None if there is none."""
        with self.lock:
            available = [name for name in names if name not in self.reserved]
            name = self.random.choice(available) if available else None
            if name is not None:
                self.reserved.add(name)
        try:
            yield name
        finally:
            with self.lock:
                self.reserved.discard(name or "")

    @contextmanager
    def worker(self) -> Iterator[PlatformWorker | None]:
        """Reserve a random listed worker; the first of each service is spared."""
        chosen = self.random.choice([ENGINES, DESK])
        names = sorted(self.system.workers_of(chosen))[1:]
        with self.reserve(names) as name:
            if name is None:
                yield None
                return
            with self.window(WindowKind.UPSTREAM, name):
                yield self.system.workers[name]

    def call_in_loop(self, action: Callable[[], object]) -> None:
        """Call an action in the event loop of the stand-ins."""
        self.system.platform.loop.call_soon_threadsafe(action)


@platform_faults.register("node_killed")
def kill_node(context: FaultContext) -> None:
    """Kill a node and start it again."""
    with context.node(WindowKind.PROCESS) as node:
        if node is not None:
            node.kill()
            time.sleep(context.random.uniform(0.0, 2 * DOWNTIME_S))
            start_node(node)


@platform_faults.register("all_nodes_killed")
def kill_all_nodes(context: FaultContext) -> None:
    """Kill all nodes that no other fault uses and start them again."""
    with context.lock:
        nodes = [n for n in context.system.nodes if n.name not in context.reserved]
        context.reserved |= {node.name for node in nodes}
    with context.window(WindowKind.PROCESS):
        for node in nodes:
            node.kill()
        time.sleep(DOWNTIME_S)
        for node in nodes:
            start_node(node)
    with context.lock:
        context.reserved -= {node.name for node in nodes}


@platform_faults.register("node_stopped")
def stop_node(context: FaultContext) -> None:
    """Stop a node gracefully and start it again."""
    with context.node(WindowKind.STOP) as node:
        if node is None or node.process is None:
            return
        # A node that is not ready yet has nothing to finish: any exit code is valid.
        serving = node.is_ready()
        node.signal(signal.SIGTERM)
        code = node.process.wait(2 * STOP_GRACE_S)
        if serving and code != 0:
            context.system.history.nonzero_exits.append(f"{node.name} code {code}")
        start_node(node)


@platform_faults.register("node_frozen")
def suspend_node(context: FaultContext) -> None:
    """Suspend a node with SIGSTOP and resume it."""
    with context.node(WindowKind.PROCESS) as node:
        if node is not None:
            node.signal(signal.SIGSTOP)
            context.sleep_fault_duration()
            node.signal(signal.SIGCONT)


@platform_faults.register("settings_signal")
def reload_node(context: FaultContext) -> None:
    """Send SIGHUP, the settings signal, to a node twice, maybe while it starts."""
    node = context.random.choice(context.system.nodes)
    for _ in range(2):
        node.signal(signal.SIGHUP)
        time.sleep(MIN_FAULT_S)
    process = node.process
    if process is not None and process.poll() == -signal.SIGHUP:
        # SIGHUP ends the interpreter before the node has installed its handler. The
        # platform would start the node again, whatever else happens to it.
        start_node(node)


@platform_faults.register("clock_shifted")
def shift_clock(context: FaultContext) -> None:
    """Start a node with a shifted wall clock and correct the clock later."""
    with context.node(WindowKind.PROCESS) as node:
        if node is not None:
            shift = context.random.choice([-CLOCK_SHIFT_S, CLOCK_SHIFT_S])
            node.clock_shift_path.write_text(str(shift))
            node.kill()
            start_node(node)
            context.sleep_fault_duration()
            node.clock_shift_path.unlink()


def start_node(node: NodeProcess) -> None:
    """Start a node and wait until its process runs."""
    node.start()
    wait_for(lambda: node.running, f"start of {node.name}")


def _apply_store_mode(context: FaultContext, mode: StoreMode) -> None:
    store = context.system.platform.store
    with context.reserve(["store"]) as name, context.window(WindowKind.STORE):
        if name is not None:
            store.mode = mode
            context.sleep_fault_duration()
            store.mode = StoreMode.UP


@platform_faults.register("store_busy")
def refuse_store_calls(context: FaultContext) -> None:
    """Make the store answer 503 to all calls."""
    _apply_store_mode(context, StoreMode.BUSY)


@platform_faults.register("store_reset")
def reset_store_calls(context: FaultContext) -> None:
    """Make the store reset all connections."""
    _apply_store_mode(context, StoreMode.RESET)


@platform_faults.register("store_answers_lost")
def lose_store_answers(context: FaultContext) -> None:
    """Make the store carry out calls without answering them."""
    _apply_store_mode(context, StoreMode.LOSE_ANSWERS)


@platform_faults.register("store_writes_late")
def delay_store_writes(context: FaultContext) -> None:
    """Make appends take effect after the nodes' calls have failed."""
    _apply_store_mode(context, StoreMode.LATE_WRITES)


@platform_faults.register("store_slow")
def slow_store(context: FaultContext) -> None:
    """Make the store answer slowly."""
    store = context.system.platform.store
    with context.reserve(["store"]) as name, context.window(WindowKind.STORE):
        if name is not None:
            store.delay_s = STORE_DELAY_S
            context.sleep_fault_duration()
            store.delay_s = 0.0


@platform_faults.register("store_deals_anew")
def change_partition_owners(context: FaultContext) -> None:
    """Assign all partitions to other owners."""
    with context.window(WindowKind.STORE):
        context.call_in_loop(context.system.platform.store.reassign_partitions)


@platform_faults.register("store_cut_off")
def disconnect_store(context: FaultContext) -> None:
    """Abort a node's connections to the store and refuse new ones."""
    with context.node(WindowKind.STORE) as node:
        if node is not None:
            disconnect(context, context.system.store_proxies[node.name])


@platform_faults.register("store_links_silent")
def silence_store(context: FaultContext) -> None:
    """Drop all data on a node's open connections to the store, one way or both."""
    with context.node(WindowKind.STORE) as node:
        if node is not None:
            silence(context, context.system.store_proxies[node.name])


@platform_faults.register("worker_crashed")
def crash_worker(context: FaultContext) -> None:
    """Crash a worker, remove its entry later and start a replacement."""
    with context.worker() as worker:
        if worker is not None:
            service = context.system.entries[worker.name]["Service"]
            proxy = context.system.worker_proxies[worker.name]
            proxy.faults.refuse = True
            context.call_in_loop(proxy.abort_connections)
            context.sleep_fault_duration()
            context.system.update_entry(worker.name, None)
            context.system.add_worker(service)


@platform_faults.register("worker_drained")
def drain_worker(context: FaultContext) -> None:
    """Start a replacement for a worker, then drain it and remove its entry."""
    with context.worker() as worker:
        if worker is not None:
            entry = context.system.entries[worker.name]
            context.system.add_worker(entry["Service"])
            context.system.update_entry(worker.name, {**entry, "State": "draining"})
            context.system.history.draining[worker.name] = time.monotonic()
            time.sleep(DRAIN_PERIOD_S)
            context.system.update_entry(worker.name, None)


@platform_faults.register("worker_slow")
def slow_worker(context: FaultContext) -> None:
    """Slow a worker down."""
    with context.worker() as worker:
        if worker is not None:
            normal_event_s, worker.event_s = (
                worker.event_s,
                worker.event_s * SLOW_FACTOR,
            )
            context.sleep_fault_duration()
            worker.event_s = normal_event_s


@platform_faults.register("worker_errors")
def fail_requests(context: FaultContext) -> None:
    """Make a worker answer all requests with status 502."""
    with context.worker() as worker:
        if worker is not None:
            worker.fail_status = 502
            context.sleep_fault_duration()
            worker.fail_status = 0


@platform_faults.register("worker_breaks_off")
def break_streams(context: FaultContext) -> None:
    """Make a worker break off its streams or answer with wrong request ids."""
    with context.worker() as worker:
        if worker is not None:
            worker.break_after = context.random.randint(0, 8)
            worker.wrong_id = worker.name.startswith(DESK)
            context.sleep_fault_duration()
            worker.break_after, worker.wrong_id = None, False


@platform_faults.register("worker_cuts_answers")
def truncate_answers(context: FaultContext) -> None:
    """Make a worker run plain requests and truncate its answers."""
    with context.worker() as worker:
        if worker is not None:
            worker.answer_truncation = context.random.choice(list(AnswerTruncation))
            context.sleep_fault_duration()
            worker.answer_truncation = None


@platform_faults.register("worker_says_nothing_new")
def stream_comments(context: FaultContext) -> None:
    """Make a worker's new streams send only comments and no events."""
    with context.worker() as worker:
        if worker is not None:
            worker.comments_only = True
            context.sleep_fault_duration()
            worker.comments_only = False


@platform_faults.register("worker_begins_late")
def delay_first_events(context: FaultContext) -> None:
    """Delay the first event of a worker's streams beyond the stall timeout."""
    with context.worker() as worker:
        if worker is not None:
            worker.first_event_delay_s = FIRST_EVENT_DELAY_S
            context.sleep_fault_duration()
            worker.first_event_delay_s = 0.0


@platform_faults.register("worker_orders_late")
def delay_orders(context: FaultContext) -> None:
    """Make a worker leave orders unanswered and carry them out later."""
    with context.worker() as worker:
        if worker is not None:
            worker.order_delay_s = ORDER_DELAY_S
            context.sleep_fault_duration()
            worker.order_delay_s = 0.0


@platform_faults.register("worker_cut_off")
def disconnect_worker(context: FaultContext) -> None:
    """Abort the nodes' connections to a worker and refuse new ones."""
    with context.worker() as worker:
        if worker is not None:
            disconnect(context, context.system.worker_proxies[worker.name])


@platform_faults.register("worker_links_silent")
def silence_worker(context: FaultContext) -> None:
    """Drop all data on the open connections to a worker, one way or both."""
    with context.worker() as worker:
        if worker is not None:
            silence(context, context.system.worker_proxies[worker.name])


@platform_faults.register("worker_links_slow")
def delay_worker(context: FaultContext) -> None:
    """Delay all data on the connections to a worker."""
    with context.worker() as worker:
        if worker is not None:
            proxy = context.system.worker_proxies[worker.name]
            proxy.faults.delay_s = LINK_DELAY_S
            context.sleep_fault_duration()
            proxy.faults.delay_s = 0.0


@platform_faults.register("config_changed")
def change_configuration(context: FaultContext) -> None:
    """Write several new versions of the configuration in a row."""
    for _ in range(context.random.randint(1, 4)):
        with context.system.config_lock:
            context.system.platform.configure()
        time.sleep(context.random.uniform(0.0, MIN_FAULT_S))


def disconnect(context: FaultContext, proxy: FaultProxy) -> None:
    """Abort the connections of a proxy and refuse new ones for a while."""
    proxy.faults.refuse = True
    context.call_in_loop(proxy.abort_connections)
    context.sleep_fault_duration()
    proxy.faults.refuse = False


def silence(context: FaultContext, proxy: FaultProxy) -> None:
    """Drop all data on the open connections of a proxy, one way or both."""
    directions = [Direction.BOTH, Direction.TO_TARGET, Direction.TO_CLIENT]
    direction = context.random.choice(directions)
    context.call_in_loop(lambda: proxy.discard_data(direction))
    context.sleep_fault_duration()
