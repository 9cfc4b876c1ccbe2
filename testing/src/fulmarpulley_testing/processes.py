"""Start the processes of a test and end only those."""

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Self
from urllib import request

import msgspec

from .ports import free_ports

__all__ = [
    "Process",
    "Processes",
    "call",
    "exit_on_sigterm",
    "free_ports",
    "set_faults",
    "wait_for",
]

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 10.0


class NotReadyError(RuntimeError):
    """Report a condition that did not become true in time."""


def wait_for(
    condition: Callable[[], bool], description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds; raise NotReadyError after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise NotReadyError(f"{description} did not happen within {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)


def call(url: str, method: str = "GET", body: Any = None) -> Any:
    """Call a loopback address and return the decoded JSON answer."""
    data = None if body is None else msgspec.json.encode(body)
    outgoing = request.Request(url, data=data, method=method)
    with request.urlopen(outgoing, timeout=CALL_TIMEOUT_S) as answer:
        return json.loads(answer.read() or b"null")


def is_responding(url: str) -> bool:
    """Tell whether an address answers with a status below 400 within a second."""
    try:
        with request.urlopen(url, timeout=1.0):
            return True
    except OSError:
        return False


def set_faults(port: int, **faults: Any) -> None:
    """Set faults of the stand-in that listens on a loopback port."""
    call(f"http://127.0.0.1:{port}/control/faults", "POST", faults)


def exit_on_sigterm() -> None:
    """Raise SystemExit on SIGTERM, so that context managers end their processes."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))


class Process:
    """Start and control one process, which appends its output to a log file."""

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self.command = command
        self.log = log
        with log.open("ab") as output:
            self.child = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )

    def running(self) -> bool:
        """Tell whether the process is still running."""
        return self.child.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.child.send_signal(number)

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float = START_TIMEOUT_S) -> int:
        """Wait for the end of the process and return its exit code."""
        return self.child.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.child.kill()
        self.child.wait()


class Processes:
    """Start processes by name and kill all of them when the context closes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.by_name: dict[str, Process] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exception: object) -> None:
        for process in self.by_name.values():
            if process.running():
                process.kill()

    def start(self, name: str, module: str, *arguments: str) -> Process:
        """Start a Python module; raise ValueError if a process of that name runs."""
        earlier = self.by_name.get(name)
        if earlier is not None and earlier.running():
            raise ValueError(f"process {name} is already running")
        command = [sys.executable, "-m", module, *arguments]
        process = Process(name, command, self.folder / f"{name}.log")
        self.by_name[name] = process
        return process

    def wait_ready(self, name: str, url: str) -> None:
        """Wait until an address answers; raise NotReadyError if the process ends."""
        process = self.by_name[name]

        def ready_or_ended() -> bool:
            if not process.running():
                log_tail = process.log.read_text()[-2000:]
                code = process.child.returncode
                message = (
                    f"{name} ended with code {code} before it was ready:\n{log_tail}"
                )
                raise NotReadyError(message)
            return is_responding(url)

        wait_for(ready_or_ended, f"start of {name}")
