"""Inject faults into the duties of a soak, and check that they are carried out."""

import random
import signal
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, nullcontext, suppress
from typing import TYPE_CHECKING, Any

import msgspec

from .fault_proxy import FaultProxy
from .findings import Fault, Finding
from .platform_checks import CheckContext, checks, has_just_resumed
from .platform_cloud import CloudMode, PlatformCloud
from .platform_documents import ENGINES
from .platform_faults import (
    DRAIN_PERIOD_S,
    FaultContext,
    PlatformFault,
    disconnect,
    platform_faults,
    silence,
    start_node,
)
from .platform_history import WindowKind
from .platform_system import NodeProcess
from .processes import NotReadyError, wait_for
from .serving import LOOPBACK

if TYPE_CHECKING:
    from .platform_soak import SoakSystem

USAGE_SUBJECT = "duty/usage"
# Short windows, so that a soak of 20 s has several.
WINDOW_S = 2.0
USAGE_LATE_S = 6.0
BOOT_S = 1.0
MIN_ENGINES = 1
MAX_ENGINES = 8
# Time that reclaimed engines have left.
MIN_LEAVES_S = 0.5
MAX_LEAVES_S = 2.0
MAX_CLOCK_STEP_S = 3.0
# Windows after the faults that have to be reported before the soak ends.
WINDOWS_AFTER_FAULTS = 2


class Place(msgspec.Struct, frozen=True):
    """Name the data centre and the kind of an upstream."""

    data_centre: str
    spot: bool


PLACES = (Place("a1", False), Place("b1", True))
duty_faults: set[str] = set()


def duty_fault(name: str) -> Callable[[PlatformFault], PlatformFault]:
    """Return a decorator that registers a fault for soaks with duties."""
    duty_faults.add(name)
    return platform_faults.register(name)


def random_of_duties(seed: int) -> random.Random:
    """Return a random generator that leaves the one of the other faults alone."""
    return random.Random(f"{seed}/duties")


class SoakDuties:
    """Own the stand-in of the duty calls, and carry out its orders of engines."""

    def __init__(self, system: "SoakSystem") -> None:
        self.system = system
        settings = system.settings
        self.fencing_required = random_of_duties(settings.seed).random() < 0.5
        self.cloud = PlatformCloud(self.fencing_required, settings.lease_ms / 1000)
        self.cloud.on_order = self._take_order
        self.proxies: dict[str, FaultProxy] = {}
        self.port = 0
        self.lock = threading.Lock()
        self.booting: list[Place] = []
        # Numbers of engines in orders that are outside the limits.
        self.excessive_orders: list[Any] = []
        # Engines that are to be there: those at the start less those that were removed.
        self.wanted = settings.engines
        # First window that began after all faults had ended; 0 before that.
        self.first_window = 0
        self.closed = False

    def serve(self) -> None:
        """Start the stand-in and give the engines limits."""
        platform = self.system.platform
        self.port = platform.serve(self.cloud.app())
        platform.scaling = {
            "Min": MIN_ENGINES,
            "Max": MAX_ENGINES,
            "BootS": BOOT_S,
            "SpotPrice": 0.2,
            "ZonePrices": {"a1": 2.0, "b1": 1.0},
        }

    def node_settings(self, port: int) -> dict[str, Any]:
        """Return the settings of a node that reaches the stand-in at a port."""
        return {
            "duties_address": f"{LOOPBACK}:{port}",
            "duties": ["usage_reporting", "autoscaling"],
            "bounds": {
                "report_window_s": WINDOW_S,
                "usage_late_s": USAGE_LATE_S,
                "fencing_required": self.fencing_required,
            },
        }

    def present(self) -> list[tuple[str, Place]]:
        """Return the listed engines that do not leave."""
        return [
            (name, Place(entry["Zone"], entry.get("Spot", False)))
            for name, entry in list(self.system.entries.items())
            if entry["Service"] == ENGINES and entry["State"] == "ready"
        ]

    def wait_until_settled(self, timeout_s: float) -> None:
        """Wait until the duties have caught up; the final checks tell what is missing.

        All faults must have ended.
        """
        self.first_window = int(time.time() / WINDOW_S) + 1
        with suppress(NotReadyError):
            wait_for(lambda: not self.undone(), "duties", timeout_s)

    def undone(self) -> list[str]:
        """Return what is missing after all faults have ended.

        Windows of the time of the faults have to be reported then, too.
        """
        reported = list(self.cloud.windows)
        first = min([self.first_window, *reported])
        required = range(first, self.first_window + WINDOWS_AFTER_FAULTS)
        found = [
            f"window {window} is not reported"
            for window in required
            if window not in self.cloud.windows
        ]
        count = len(self.present())
        if count < self.wanted:
            found.append(f"{count} of {self.wanted} engines")
        return found

    def summary(self) -> str:
        """Compare the reported requests with those that ran in the same windows.

        The difference is no finding: faults of nodes and links lose counts, and a
        request that a silent link drops counts until it is known not to have run.
        """
        windows = dict(self.cloud.windows)
        clock_offset_s = time.time() - time.monotonic()
        requests = self.system.history.requests
        ran = {
            run.request_id
            for worker in self.system.workers.values()
            for run in worker.runs
            if run.request_id in requests
            and int((run.started + clock_offset_s) / WINDOW_S) in windows
        }
        reported = sum(sum(counts.values()) for counts in windows.values())
        return (
            f"duties windows={len(windows)} reported={reported} ran={len(ran)} "
            f"calls={len(self.cloud.calls)} fencing={self.fencing_required} "
            f"engines={len(self.present())} wanted={self.wanted}"
        )

    def _take_order(self, order: Any) -> None:
        """Start or remove engines outside of the event loop, which they need."""
        threading.Thread(target=self.carry_out, args=(order,), daemon=True).start()

    def carry_out(self, order: Any) -> None:
        """Start the engines that are missing, or drain those that are too many."""
        place = Place(order["Zone"], order.get("Spot", False))
        count = order["TargetGroups"]
        if not MIN_ENGINES <= count <= MAX_ENGINES:
            self.excessive_orders.append(order)
        with self.lock:
            names = [name for name, at in self.present() if at == place]
            missing = count - len(names) - self.booting.count(place)
            self.booting += [place] * missing
            surplus = names[count:]
            self.wanted -= len(surplus)
        for name in surplus:
            entry = self.system.entries[name]
            self.system.update_entry(name, {**entry, "State": "draining"})
        time.sleep(BOOT_S if missing > 0 else DRAIN_PERIOD_S if surplus else 0.0)
        if self.closed:
            return
        for name in surplus:
            self.system.update_entry(name, None)
        for _ in range(missing):
            self.system.add_worker(order["Service"], place)
            with self.lock:
                self.booting.remove(place)


def _apply_cloud_mode(context: FaultContext, mode: CloudMode) -> None:
    duties = context.system.duties
    assert duties is not None
    with context.reserve(["cloud"]) as name:
        if name is not None:
            duties.cloud.mode = mode
            context.sleep_fault_duration()
            duties.cloud.mode = CloudMode.UP


@duty_fault("cloud_down")
def stop_cloud(context: FaultContext) -> None:
    """Make the platform reset all duty calls."""
    _apply_cloud_mode(context, CloudMode.DOWN)


@duty_fault("cloud_slow")
def slow_cloud(context: FaultContext) -> None:
    """Make the platform carry out and answer duty calls slowly."""
    _apply_cloud_mode(context, CloudMode.SLOW)


@duty_fault("cloud_rejects")
def reject_duty_calls(context: FaultContext) -> None:
    """Make the platform answer 429 to all duty calls."""
    _apply_cloud_mode(context, CloudMode.REJECT)


@duty_fault("cloud_answers_lost")
def lose_cloud_answers(context: FaultContext) -> None:
    """Make the platform carry out duty calls without answering them."""
    _apply_cloud_mode(context, CloudMode.LOSE_ANSWERS)


@duty_fault("cloud_late")
def delay_duty_calls(context: FaultContext) -> None:
    """Make the platform carry out duty calls after their connections were closed."""
    _apply_cloud_mode(context, CloudMode.LATE)


@duty_fault("spot_engines_reclaimed")
def reclaim_spot_engines(context: FaultContext) -> None:
    """Reclaim the spot engines of a data centre, maybe without capacity afterwards."""
    system, duties = context.system, context.system.duties
    assert duties is not None
    place = PLACES[1]
    with context.lock:
        spot = {name for name, at in duties.present() if at == place}
        names = spot - context.reserved
        context.reserved |= names
    leaves_s = context.random.uniform(MIN_LEAVES_S, MAX_LEAVES_S)
    with context.window(WindowKind.UPSTREAM):
        if context.random.random() < 0.5:
            duties.cloud.unavailable.add(place.data_centre)
        leaving = {"State": "draining", "leaves_ms": leaves_s * 1000}
        for name in sorted(names):
            system.update_entry(name, {**system.entries[name], **leaving})
            system.history.draining[name] = time.monotonic()
        time.sleep(leaves_s)
        for name in sorted(names):
            proxy = system.worker_proxies[name]
            proxy.faults.refuse = True
            context.call_in_loop(proxy.abort_connections)
            system.update_entry(name, None)
        context.sleep_fault_duration()
        duties.cloud.unavailable.clear()
    with context.lock:
        context.reserved -= names


@duty_fault("clock_stepped")
def step_clock(context: FaultContext) -> None:
    """Step the time of day of a running node, and step it back.

    No check is excused by it.
    """
    with context.reserve([node.name for node in context.system.nodes]) as name:
        for node in context.system.nodes:
            if node.name == name:
                step_s = context.random.uniform(-MAX_CLOCK_STEP_S, MAX_CLOCK_STEP_S)
                node.clock_shift_path.write_text(str(step_s))
                context.sleep_fault_duration()
                node.clock_shift_path.unlink()


@contextmanager
def _holder(
    context: FaultContext, kind: WindowKind | None
) -> Iterator[NodeProcess | None]:
    """Reserve the holder of a random duty and record the fault if it has a kind."""
    subject = context.random.choice([USAGE_SUBJECT, ENGINES])
    holder = context.system.platform.owner(subject)
    with context.reserve([holder.name] if holder is not None else []) as name:
        if holder is None or name is None:
            yield None
            return
        with context.window(kind, name) if kind else nullcontext():
            yield holder


@duty_fault("duty_holder_killed")
def kill_holder(context: FaultContext) -> None:
    """Kill the holder of a duty and start it again."""
    with _holder(context, WindowKind.PROCESS) as node:
        if node is not None:
            node.kill()
            context.sleep_fault_duration()
            start_node(node)


@duty_fault("duty_holder_frozen")
def suspend_holder(context: FaultContext) -> None:
    """Suspend the holder of a duty and resume it."""
    with _holder(context, WindowKind.PROCESS) as node:
        if node is not None:
            node.signal(signal.SIGSTOP)
            context.sleep_fault_duration()
            node.signal(signal.SIGCONT)


@duty_fault("duty_holder_cut_off")
def disconnect_holder(context: FaultContext) -> None:
    """Cut off the holder of a duty from the store."""
    with _holder(context, WindowKind.STORE) as node:
        if node is not None:
            disconnect(context, context.system.store_proxies[node.name])


@duty_fault("duty_links_harmed")
def harm_duty_links(context: FaultContext) -> None:
    """Cut off the holder of a duty from the platform, or drop what it sends there."""
    duties = context.system.duties
    assert duties is not None
    # Excuses no check, since clients do not use these links.
    with _holder(context, None) as node:
        if node is not None:
            action = context.random.choice([disconnect, silence])
            action(context, duties.proxies[node.name])


@checks.register("duties have one holder")
def check_holders(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find broken rules of duty calls.

    A node may still send what it had begun to send before it was suspended.
    """
    if context.duties is None:
        return
    for broken in list(context.duties.cloud.findings):
        if not (broken.excusable and has_just_resumed(context, broken.at)):
            yield Finding(Fault.DUTY_BROKEN, "duties", broken.detail)
    for order in context.duties.excessive_orders:
        yield Finding(Fault.DUTY_BROKEN, "duties", f"beyond the limits: {order}")


@checks.register("duties are done")
def check_done(context: CheckContext, final: bool) -> Iterator[Finding]:
    """Find windows and engines that are missing after all faults have ended."""
    if final and context.duties is not None and context.duties.first_window:
        for missing in context.duties.undone():
            yield Finding(Fault.DUTY_UNDONE, "duties", missing)
