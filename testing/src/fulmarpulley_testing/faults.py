"""Inject random faults into a cluster and revert them."""

import random
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from http.client import HTTPException
from typing import Any

from fulmarpulley_core.registry import Registry

from .cluster import Cluster
from .layout import Member, address_of, drain
from .processes import call, set_faults

MIN_FAULT_S = 0.5
MAX_FAULT_S = 6.0
STOP_TIMEOUT_S = 60.0


class FaultInjection:
    """Provide the context of one fault; random choices depend on the seed only."""

    def __init__(self, cluster: Cluster, seed: str, targets: "FaultTargets") -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.targets = targets

    def sleep_fault_duration(self) -> None:
        """Sleep for the random duration of a fault."""
        time.sleep(self.random.uniform(MIN_FAULT_S, MAX_FAULT_S))

    @contextmanager
    def reserve_member(self, members: list[Member]) -> Iterator[Member]:
        """Reserve a random member while the context is open."""
        with self.targets.reserve(members, self.random) as member:
            yield member

    @contextmanager
    def temporary_faults(
        self, port: int, restored: dict[str, Any], **faults: Any
    ) -> Iterator[None]:
        """Set faults of a stand-in and restore the given values on exit."""
        set_faults(port, **faults)
        try:
            yield
        finally:
            set_faults(port, **restored)


class FaultTargets:
    """Prevent concurrent faults from using the same member."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.reserved: set[str] = set()

    @contextmanager
    def reserve(self, members: list[Member], rng: random.Random) -> Iterator[Member]:
        """Choose a member by the seed alone, then wait until it is free."""
        member = rng.choice(members)
        with self.changed:
            self.changed.wait_for(lambda: member.name not in self.reserved)
            self.reserved.add(member.name)
        try:
            yield member
        finally:
            with self.changed:
                self.reserved.discard(member.name)
                self.changed.notify_all()


FaultFunction = Callable[[FaultInjection], None]
faults: Registry[FaultFunction] = Registry("fault")


@faults.register("node_killed")
def kill_node(injection: FaultInjection) -> None:
    """Kill a node with SIGKILL and restart it."""
    cluster = injection.cluster
    with injection.reserve_member(cluster.layout.nodes) as node:
        cluster.process(node).kill()
        injection.sleep_fault_duration()
        _start_node(cluster, node)


@faults.register("node_frozen")
def suspend_node(injection: FaultInjection) -> None:
    """Suspend a node with SIGSTOP and resume it."""
    with injection.reserve_member(injection.cluster.layout.nodes) as node:
        process = injection.cluster.process(node)
        process.suspend()
        injection.sleep_fault_duration()
        process.resume()


@faults.register("node_stopped")
def stop_node(injection: FaultInjection) -> None:
    """Stop a node with SIGTERM and restart it."""
    cluster = injection.cluster
    with injection.reserve_member(cluster.layout.nodes) as node:
        process = cluster.process(node)
        process.terminate()
        process.wait(STOP_TIMEOUT_S)
        _start_node(cluster, node)


def _start_node(cluster: Cluster, node: Member) -> None:
    cluster.start_node(node)
    # The node may not become ready while another fault is active, so do not wait.
    cluster.starting.pop(node.name, None)


@faults.register("log_outage")
def stop_log(injection: FaultInjection) -> None:
    """Make the log refuse all calls."""
    log = injection.cluster.layout.log
    with injection.temporary_faults(log, {"outage": False}, outage=True):
        injection.sleep_fault_duration()


@faults.register("log_silent")
def silence_log(injection: FaultInjection) -> None:
    """Make the log leave all calls unanswered."""
    log = injection.cluster.layout.log
    with injection.temporary_faults(log, {"silent": False}, silent=True):
        injection.sleep_fault_duration()


@faults.register("log_slow")
def slow_log(injection: FaultInjection) -> None:
    """Make the log delay all calls."""
    log = injection.cluster.layout.log
    delay_s = injection.random.uniform(0.1, 1.0)
    with injection.temporary_faults(log, {"delay_s": 0.0}, delay_s=delay_s):
        injection.sleep_fault_duration()


@faults.register("log_answers_lost")
def lose_log_answers(injection: FaultInjection) -> None:
    """Make the log drop the answers of stored appends and store appends twice."""
    count = injection.random.randrange(1, 10)
    log = injection.cluster.layout.log
    set_faults(log, lose_answers=count, double_appends=count)


@faults.register("log_links_silent")
def silence_log_connections(injection: FaultInjection) -> None:
    """Stop all data on a node's open log connections without closing them."""
    _call_proxy(injection, "silence")


@faults.register("log_links_cut")
def abort_log_connections(injection: FaultInjection) -> None:
    """Abort a node's open log connections."""
    _call_proxy(injection, "cut")


def _call_proxy(injection: FaultInjection, action: str) -> None:
    node = injection.random.choice(injection.cluster.layout.nodes)
    call(f"{address_of(node.proxy_control_port)}/control/{action}", "POST")


@faults.register("engine_crashed")
def crash_engine(injection: FaultInjection) -> None:
    """Kill an engine in mid-stream and restart it."""
    cluster = injection.cluster
    with injection.reserve_member(_engines(cluster)) as engine:
        cluster.process(engine).kill()
        injection.sleep_fault_duration()
        cluster.start_engine(engine)
        cluster.processes.wait_ready(engine.name, cluster.starting.pop(engine.name))


@faults.register("engine_hung")
def hang_engine(injection: FaultInjection) -> None:
    """Make an engine keep its streams open without sending tokens."""
    with injection.reserve_member(_engines(injection.cluster)) as engine:  # noqa: SIM117
        with injection.temporary_faults(engine.port, {"hang": False}, hang=True):
            injection.sleep_fault_duration()


@faults.register("engine_streams_cut")
def cut_streams(injection: FaultInjection) -> None:
    """Make an engine abort some streams after a token."""
    with injection.reserve_member(_engines(injection.cluster)) as engine:
        set_faults(engine.port, cut_streams=injection.random.randrange(1, 6))


@faults.register("swaps_failed")
def fail_swaps(injection: FaultInjection) -> None:
    """Make the next weight swaps of an engine fail."""
    with injection.reserve_member(injection.cluster.layout.engines) as engine:
        set_faults(engine.port, failed_swaps=injection.random.randrange(1, 3))


@faults.register("engine_drained")
def drain_engine(injection: FaultInjection) -> None:
    """Make an engine report temporarily that it is draining."""
    with injection.reserve_member(injection.cluster.layout.engines) as engine:  # noqa: SIM117
        with injection.temporary_faults(
            engine.port, {"draining": False}, draining=True
        ):
            injection.sleep_fault_duration()


@faults.register("plain_answers_lost")
def lose_plain_answers(injection: FaultInjection) -> None:
    """Make a plain service drop the answers of executed calls."""
    with injection.reserve_member(injection.cluster.layout.plains) as plain:
        set_faults(plain.port, lose_answers=injection.random.randrange(1, 6))


@faults.register("plain_refusals")
def refuse_plain_calls(injection: FaultInjection) -> None:
    """Make a plain service refuse calls without executing them."""
    with injection.reserve_member(injection.cluster.layout.plains) as plain:
        set_faults(plain.port, refusals=injection.random.randrange(1, 6))


@faults.register("store_outage")
def stop_store(injection: FaultInjection) -> None:
    """Make the weight store refuse all calls."""
    store = injection.cluster.layout.store
    with injection.temporary_faults(store, {"outage": False}, outage=True):
        injection.sleep_fault_duration()


@faults.register("instance_list_outage")
def stop_instance_list(injection: FaultInjection) -> None:
    """Make the instance list refuse all calls."""
    instances = injection.cluster.layout.instances
    with injection.temporary_faults(instances, {"outage": False}, outage=True):
        injection.sleep_fault_duration()


@faults.register("scorer_errors")
def fail_scorer(injection: FaultInjection) -> None:
    """Make the scorer fail its next requests."""
    scorer = injection.cluster.layout.scorer
    set_faults(scorer, errors=injection.random.randrange(1, 6))


@faults.register("document_edited")
def edit_document(injection: FaultInjection) -> None:
    """Drain an engine by editing the service document, then attach it again."""
    layout = injection.cluster.layout
    document = layout.training_document()
    engine_name = injection.random.choice(layout.engines).name
    for edited in (drain(document, engine_name), document):
        # An edit may fail while another fault is active.
        with suppress(OSError, HTTPException, RuntimeError):
            injection.cluster.edit(edited)
        injection.sleep_fault_duration()


def _engines(cluster: Cluster) -> list[Member]:
    return [*cluster.layout.engines, *cluster.layout.desk_engines]
