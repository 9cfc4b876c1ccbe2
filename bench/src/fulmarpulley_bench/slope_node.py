"""Measure node processes with stub upstreams on the loopback interface."""

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec

from fulmarpulley_schema.generated.settings import MembershipSettings, NodeSettings
from fulmarpulley_testing.cluster import Cluster
from fulmarpulley_testing.layout import (
    DESK,
    ENGINE_DESK,
    ClusterSettings,
    Layout,
    Member,
)
from fulmarpulley_testing.processes import Processes

from .load_client import LoadResult, call_node, call_plain, run_load, stream_node
from .measure import MEASUREMENTS, Point, Series, series
from .processes import Usage, interpreter_bytes, usage

NODES = (1, 3, 9)
ENGINES = (2, 8, 16)
WARM_UP_S = 5.0
IDLE_INTERVAL_S = 20.0
CONCURRENCY = (1, 8, 32)
REQUESTS = 1500
STREAMS = 256
STREAM_TOKENS = 256


class NodeLayout(Layout):
    """Use the default membership settings and partitions, not the test values."""

    def node_settings(self, node: Member) -> NodeSettings:
        """Return the settings of one node."""
        return msgspec.structs.replace(
            super().node_settings(node), membership=MembershipSettings(), partitions=32
        )


@contextmanager
def running(settings: ClusterSettings) -> Iterator[Cluster]:
    """Run a cluster in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        cluster = Cluster(processes, settings)
        cluster.layout = NodeLayout(settings)
        cluster.start()
        yield cluster


@MEASUREMENTS.register("node_idle")
def measure_idle() -> list[Series]:
    """Measure a node without requests, by nodes and by engines of its pool."""
    by_nodes = [
        (nodes, ClusterSettings(nodes=nodes, engines=1, plains=1)) for nodes in NODES
    ]
    by_engines = [
        (engines, ClusterSettings(nodes=1, engines=engines, plains=1))
        for engines in ENGINES
    ]
    return _measure_idle("nodes", by_nodes) + _measure_idle("engines", by_engines)


def _measure_idle(label: str, cases: list[tuple[int, ClusterSettings]]) -> list[Series]:
    import_bytes = interpreter_bytes()
    cpu, resident, growth, sent = [], [], [], []
    for size, settings in cases:
        with running(settings) as cluster:
            # Measure the last node; a single node is the home of every pool.
            pid = cluster.process(cluster.layout.nodes[-1]).child.pid
            time.sleep(WARM_UP_S)
            before, after = _measure_interval(pid)
        share = 100.0 * (after.cpu_s - before.cpu_s) / IDLE_INTERVAL_S
        cpu.append(Point(size, share))
        resident.append(Point(size, after.resident / 1e6))
        growth.append(Point(size, (after.resident - import_bytes) / 1e6))
        rate = (after.socket_bytes - before.socket_bytes) / IDLE_INTERVAL_S / 1e3
        sent.append(Point(size, rate))
    return [
        series(f"node.idle processor by {label}", "% of a core", label, cpu),
        series(f"node.memory, whole process by {label}", "MB", label, resident),
        series(f"node.memory over the imports by {label}", "MB", label, growth),
        series(f"node.idle socket bytes by {label}", "kB/s", label, sent),
    ]


@MEASUREMENTS.register("node_requests")
def measure_requests() -> list[Series]:
    """Measure plain calls through a node, and the same calls sent directly."""
    settings = ClusterSettings(nodes=1, engines=1, plains=8, plain_delay_s=0.02)
    rate, cost, added = [], [], []
    with running(settings) as cluster:
        node = cluster.layout.nodes[0]
        pid = cluster.process(node).child.pid
        plain = call_plain(cluster.layout.plains[0].address())
        run_load(call_node(node.address(), DESK), 200, 8)
        for concurrency in CONCURRENCY:
            requests = REQUESTS if concurrency > 1 else 200
            direct = run_load(plain, requests, min(concurrency, 8))
            before = usage(pid)
            load = run_load(call_node(node.address(), DESK), requests, concurrency)
            spent = usage(pid).cpu_s - before.cpu_s
            _require_success(load)
            rate.append(Point(concurrency, load.requests / load.seconds))
            cost.append(Point(concurrency, 1e6 * spent / load.requests))
            added.append(Point(concurrency, 1e3 * (load.median_s - direct.median_s)))
    return [
        series("node.requests", "requests/s", "concurrency", rate),
        series("node.processor per request", "us", "concurrency", cost),
        series("node.added latency, median", "ms", "concurrency", added),
    ]


@MEASUREMENTS.register("node_tokens")
def measure_tokens() -> list[Series]:
    """Measure streamed tokens through a node."""
    settings = ClusterSettings(nodes=1, engines=1, plains=1, desk_engines=4)
    settings.tokens_per_s = 300.0
    rate, cost = [], []
    with running(settings) as cluster:
        node = cluster.layout.nodes[0]
        pid = cluster.process(node).child.pid
        send = stream_node(node.address(), ENGINE_DESK, STREAM_TOKENS)
        run_load(send, 32, 8)
        for concurrency in (4, 8, 16, 32):
            before = usage(pid)
            load = run_load(send, STREAMS, concurrency)
            spent = usage(pid).cpu_s - before.cpu_s
            _require_success(load)
            rate.append(Point(concurrency, load.tokens / load.seconds))
            cost.append(Point(concurrency, 1e6 * spent / load.tokens))
    return [
        series("node.tokens", "tokens/s", "streams", rate),
        series("node.processor per token", "us", "streams", cost),
    ]


def _measure_interval(pid: int) -> tuple[Usage, Usage]:
    before = usage(pid)
    time.sleep(IDLE_INTERVAL_S)
    return before, usage(pid)


def _require_success(load: LoadResult) -> None:
    if load.failed or not load.tokens:
        raise RuntimeError(f"load run had failed requests or no tokens: {load}")
