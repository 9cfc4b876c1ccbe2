"""Open connections that notice when the other side falls silent."""

import socket

import aiohttp

# A connection whose bytes are not acknowledged for this long is given up.
USER_TIMEOUT_MS = 2000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CONNECT_TIMEOUT_S = 1.0
# Workers close idle connections after ten seconds; a shorter time here means that a
# request seldom meets a connection that is being closed.
IDLE_TIMEOUT_S = 9.0


def new_session(idle_timeout_s: float = IDLE_TIMEOUT_S) -> aiohttp.ClientSession:
    """Return a client session that sends bodies as they are."""
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle_timeout_s,
        use_dns_cache=False,
        socket_factory=_new_socket,
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        read_bufsize=2**16,
    )


def _new_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol = address[0], address[1], address[2]
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setblocking(False)
    return opened
