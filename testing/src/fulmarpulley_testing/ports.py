"""Allocate loopback ports that no other process takes before they are bound."""

import fcntl
import itertools
import os
import socket
import tempfile
import threading
from collections.abc import Iterator
from pathlib import Path

# All blocks lie below the kernel's range of ephemeral ports: a port that is free in
# that range may become a connection's source port before a server binds it.
FIRST_PORT = 10000
PORTS_PER_BLOCK = 200
BLOCK_COUNT = 100


def free_ports(count: int) -> list[int]:
    """Return distinct ports that can be bound and were not returned before."""
    # Several threads call this, since concurrent faults of a soak start workers.
    with _lock:
        return list(itertools.islice(_ports, count))


def _generate_ports() -> Iterator[int]:
    for _ in range(BLOCK_COUNT):
        first = FIRST_PORT + _lock_port_block() * PORTS_PER_BLOCK
        yield from filter(_can_bind, range(first, first + PORTS_PER_BLOCK))
    raise RuntimeError("all blocks of test ports are in use; end other test runs")


def _lock_port_block() -> int:
    """Lock a block of ports for the life of this process and return its number."""
    folder = Path(tempfile.gettempdir()) / "fulmarpulley-ports"
    folder.mkdir(exist_ok=True)
    for offset in range(BLOCK_COUNT):
        number = (os.getpid() + offset) % BLOCK_COUNT
        descriptor = os.open(folder / f"{number}.lock", os.O_CREAT | os.O_RDWR, 0o666)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            continue
        return number
    raise RuntimeError("all blocks of test ports are in use; end other test runs")


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_ports = _generate_ports()
_lock = threading.Lock()
