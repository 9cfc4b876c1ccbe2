"""Inject random faults into a cluster and heal them again."""

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
    """Hold what one injected fault may use; its choices depend on the seed only."""

    def __init__(self, cluster: Cluster, seed: str, targets: "FaultTargets") -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.targets = targets

    def last(self) -> None:
        """Let the fault last for a random time."""
        time.sleep(self.random.uniform(MIN_FAULT_S, MAX_FAULT_S))

    @contextmanager
    def reserve_member(self, members: list[Member]) -> Iterator[Member]:
        """Choose a member that no other fault uses."""
        with self.targets.reserve(members, self.random) as member:
            yield member

    @contextmanager
    def temporary_faults(
        self, port: int, restored: dict[str, Any], **faults: Any
    ) -> Iterator[None]:
        """Set faults of a stand-in and cure them at the end."""
        set_faults(port, **faults)
        try:
            yield
        finally:
            set_faults(port, **restored)


class FaultTargets:
    """Keep two faults at the same time from using the same member."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.reserved: set[str] = set()

    @contextmanager
    def reserve(self, members: list[Member], rng: random.Random) -> Iterator[Member]:
        """Reserve a member, chosen before looking at which are free."""
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
    """Kill a node and start it again later."""
    cluster = injection.cluster
    with injection.reserve_member(cluster.layout.nodes) as node:
        cluster.process(node).kill()
        injection.last()
        _start_node(cluster, node)


@faults.register("node_frozen")
def freeze_node(injection: FaultInjection) -> None:
    """Freeze a node and wake it later."""
    with injection.reserve_member(injection.cluster.layout.nodes) as node:
        process = injection.cluster.process(node)
        process.freeze()
        injection.last()
        process.wake()


@faults.register("node_stopped")
def stop_node(injection: FaultInjection) -> None:
    """Stop a node gracefully and start it again."""
    cluster = injection.cluster
    with injection.reserve_member(cluster.layout.nodes) as node:
        process = cluster.process(node)
        process.terminate()
        process.wait(STOP_TIMEOUT_S)
        _start_node(cluster, node)


def _start_node(cluster: Cluster, node: Member) -> None:
    cluster.start_node(node)
    # It may not become ready while another fault lasts, so that nobody waits here.
    cluster.starting.pop(node.name, None)


@faults.register("log_outage")
def stop_log(injection: FaultInjection) -> None:
    """Refuse all calls of the log."""
    log = injection.cluster.layout.log
    with injection.temporary_faults(log, {"outage": False}, outage=True):
        injection.last()


@faults.register("log_silent")
def silence_log(injection: FaultInjection) -> None:
    """Leave all calls of the log without an answer."""
    log = injection.cluster.layout.log
    with injection.temporary_faults(log, {"silent": False}, silent=True):
        injection.last()


@faults.register("log_slow")
def slow_log(injection: FaultInjection) -> None:
    """Delay all calls of the log."""
    log = injection.cluster.layout.log
    delay_s = injection.random.uniform(0.1, 1.0)
    with injection.temporary_faults(log, {"delay_s": 0.0}, delay_s=delay_s):
        injection.last()


@faults.register("log_answers_lost")
def lose_log_answers(injection: FaultInjection) -> None:
    """Lose answers to appends that took effect, and repeat other appends."""
    count = injection.random.randrange(1, 10)
    log = injection.cluster.layout.log
    set_faults(log, lose_answers=count, double_appends=count)


@faults.register("log_links_silent")
def silence_links(injection: FaultInjection) -> None:
    """Silence the open connections of a node to the log for good."""
    _call_proxy(injection, "silence")


@faults.register("log_links_cut")
def cut_links(injection: FaultInjection) -> None:
    """Cut the open connections of a node to the log."""
    _call_proxy(injection, "cut")


def _call_proxy(injection: FaultInjection, action: str) -> None:
    node = injection.random.choice(injection.cluster.layout.nodes)
    call(f"{address_of(node.proxy_control_port)}/control/{action}", "POST")


@faults.register("engine_crashed")
def crash_engine(injection: FaultInjection) -> None:
    """End an engine in mid-stream and start it again later."""
    cluster = injection.cluster
    with injection.reserve_member(_engines(cluster)) as engine:
        cluster.process(engine).kill()
        injection.last()
        cluster.start_engine(engine)
        cluster.processes.wait_ready(engine.name, cluster.starting.pop(engine.name))


@faults.register("engine_hung")
def hang_engine(injection: FaultInjection) -> None:
    """Let an engine keep its streams open without any token."""
    with injection.reserve_member(_engines(injection.cluster)) as engine:  # noqa: SIM117
        with injection.temporary_faults(engine.port, {"hang": False}, hang=True):
            injection.last()


@faults.register("engine_streams_cut")
def cut_streams(injection: FaultInjection) -> None:
    """Cut some streams of an engine after a token."""
    with injection.reserve_member(_engines(injection.cluster)) as engine:
        set_faults(engine.port, cut_streams=injection.random.randrange(1, 6))


@faults.register("swaps_failed")
def fail_swaps(injection: FaultInjection) -> None:
    """Fail the next swaps of an engine."""
    with injection.reserve_member(injection.cluster.layout.engines) as engine:
        set_faults(engine.port, failed_swaps=injection.random.randrange(1, 3))


@faults.register("engine_drained")
def drain_engine(injection: FaultInjection) -> None:
    """Let an engine say that it is draining, and later that it is not."""
    with injection.reserve_member(injection.cluster.layout.engines) as engine:  # noqa: SIM117
        with injection.temporary_faults(
            engine.port, {"draining": False}, draining=True
        ):
            injection.last()


@faults.register("plain_answers_lost")
def lose_plain_answers(injection: FaultInjection) -> None:
    """Lose the answers of calls that a plain service executed."""
    with injection.reserve_member(injection.cluster.layout.plains) as plain:
        set_faults(plain.port, lose_answers=injection.random.randrange(1, 6))


@faults.register("plain_refusals")
def refuse_plain_calls(injection: FaultInjection) -> None:
    """Refuse calls of a plain service without executing them."""
    with injection.reserve_member(injection.cluster.layout.plains) as plain:
        set_faults(plain.port, refusals=injection.random.randrange(1, 6))


@faults.register("store_outage")
def stop_store(injection: FaultInjection) -> None:
    """Refuse all calls of the weight store."""
    store = injection.cluster.layout.store
    with injection.temporary_faults(store, {"outage": False}, outage=True):
        injection.last()


@faults.register("instance_list_outage")
def stop_instance_list(injection: FaultInjection) -> None:
    """Refuse all calls of the instance list."""
    instances = injection.cluster.layout.instances
    with injection.temporary_faults(instances, {"outage": False}, outage=True):
        injection.last()


@faults.register("scorer_errors")
def fail_scorer(injection: FaultInjection) -> None:
    """Fail the next requests of the scorer."""
    scorer = injection.cluster.layout.scorer
    set_faults(scorer, errors=injection.random.randrange(1, 6))


@faults.register("document_edited")
def edit_document(injection: FaultInjection) -> None:
    """Drain an engine by the document, and attach it again."""
    layout = injection.cluster.layout
    document = layout.training_document()
    engine_name = injection.random.choice(layout.engines).name
    for edited in (drain(document, engine_name), document):
        # An edit may well fail while another fault lasts.
        with suppress(OSError, HTTPException, RuntimeError):
            injection.cluster.edit(edited)
        injection.last()


def _engines(cluster: Cluster) -> list[Member]:
    return [*cluster.layout.engines, *cluster.layout.desk_engines]
