"""Forward TCP connections and inject network faults."""

import asyncio
from collections.abc import AsyncIterator
from enum import Flag, auto

import defopt
import msgspec
from aiohttp import web

from .history import History
from .serving import LOOPBACK, add_control, json_response, serve, sleep_if_positive

CHUNK_BYTES = 65536


class ProxyFaults(msgspec.Struct):
    """Hold the faults of a proxy; 0 disables one."""

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    refuse: bool = False


class Direction(Flag):
    """List the directions of a link."""

    NEITHER = 0
    TO_TARGET = auto()
    TO_CLIENT = auto()
    BOTH = TO_TARGET | TO_CLIENT


class Link:
    """Pair the client connection with its connection to the target."""

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self.writers = (client, target)
        self.silent = Direction.NEITHER

    def abort(self) -> None:
        """Abort both connections without flushing buffered data."""
        for writer in self.writers:
            writer.transport.abort()


class FaultProxy:
    """Forward connections to a port and apply faults to them."""

    def __init__(self, port: int, target_port: int) -> None:
        self.faults = ProxyFaults()
        self.port = port
        self.target_port = target_port
        self.links: set[Link] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until either side closes it."""
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            target = await asyncio.open_connection(LOOPBACK, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        link = Link(writer, target[1])
        self.links.add(link)
        try:
            await self.forward_both(link, (reader, writer), target)
        finally:
            self.links.discard(link)
            link.abort()

    async def forward_both(
        self,
        link: Link,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        """Forward both directions until one of them ends."""
        tasks = [
            asyncio.create_task(
                self.forward(link, client[0], target[1], Direction.TO_TARGET)
            ),
            asyncio.create_task(
                self.forward(link, target[0], client[1], Direction.TO_CLIENT)
            ),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    async def forward(
        self,
        link: Link,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forward one direction; a silent link reads the data and discards it."""
        try:
            while data := await source.read(CHUNK_BYTES):
                await sleep_if_positive(self.faults.delay_s)
                if self.faults.bytes_per_s > 0:
                    await sleep_if_positive(len(data) / self.faults.bytes_per_s)
                if direction not in link.silent:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            return
        # A silent link does not forward the close of a connection either.
        if direction in link.silent:
            await asyncio.Event().wait()

    def abort_connections(self) -> int:
        """Abort all open connections and return their number."""
        links = list(self.links)
        for link in links:
            link.abort()
        return len(links)

    def discard_data(self, direction: Direction = Direction.BOTH) -> int:
        """Discard all further data of open connections and return their number."""
        links = list(self.links)
        for link in links:
            link.silent |= direction
        return len(links)

    async def cut(self, _request: web.Request) -> web.Response:
        """Handle a request to abort all open connections."""
        return json_response({"links": self.abort_connections()})

    async def silence(self, _request: web.Request) -> web.Response:
        """Handle a request to silence all open connections, but no later ones."""
        return json_response({"links": self.discard_data()})

    async def run(self, _app: web.Application) -> AsyncIterator[None]:
        """Accept connections while the control application runs."""
        server = await asyncio.start_server(self.accept, LOOPBACK, self.port)
        yield
        server.close()
        for link in list(self.links):
            link.abort()


def main(*, port: int, target_port: int, control_port: int) -> None:
    """Forward one loopback port to another."""
    proxy = FaultProxy(port, target_port)
    app = web.Application()
    app.router.add_post("/control/cut", proxy.cut)
    app.router.add_post("/control/silence", proxy.silence)
    app.cleanup_ctx.append(proxy.run)
    add_control(app, proxy, History())
    serve(app, control_port)


if __name__ == "__main__":
    defopt.run(main)
