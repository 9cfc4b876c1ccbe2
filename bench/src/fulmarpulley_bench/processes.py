"""Read processor time, memory and socket bytes of processes."""

import os
import re
import subprocess
import sys
from pathlib import Path

import msgspec

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
NODE_IMPORTS = "import fulmarpulley_node.app, fulmarpulley_node.main"


class Usage(msgspec.Struct, frozen=True):
    """Hold processor time and socket bytes since the start, and resident memory."""

    cpu_s: float
    resident: int
    socket_bytes: int


def usage(pid: int) -> Usage:
    """Return the usage of a process; socket bytes cover open TCP connections."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return Usage(ticks / TICKS_PER_S, resident_bytes(pid), _socket_bytes(pid))


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(match.group(1)) * 1024 if match else 0


def interpreter_bytes() -> int:
    """Return the resident bytes of an interpreter with the imports of a node."""
    program = f"{NODE_IMPORTS}\nprint('ready', flush=True)\ninput()"
    child = subprocess.Popen(
        [sys.executable, "-c", program], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    try:
        if child.stdout is not None:
            child.stdout.readline()
        return resident_bytes(child.pid)
    finally:
        child.communicate(b"\n")


def _socket_bytes(pid: int) -> int:
    command = ["ss", "--tcp", "--info", "--processes", "--numeric", "--no-header"]
    completed = subprocess.run(
        [*command, "--oneline"], capture_output=True, text=True, check=True
    )
    lines = [line for line in completed.stdout.splitlines() if f"pid={pid}," in line]
    counts = re.findall(r"bytes_(?:sent|received):(\d+)", "\n".join(lines))
    return sum(int(count) for count in counts)
