"""Check that calls between nodes report losses as failures."""

import asyncio
import unittest
from typing import Any

import zmq
import zmq.asyncio
from result import Err, Ok

from fulmarpulley_core.ids import NodeId
from fulmarpulley_node.observe.metrics import Metrics
from fulmarpulley_node.peers import PeerError, PeerLinks
from fulmarpulley_schema.generated.peer import KeysIssue, KeysIssued, MessageKind
from fulmarpulley_schema.generated.settings import (
    Listen,
    NodeSettings,
    PeerKeys,
    PlatformService,
)
from fulmarpulley_testing.processes import free_ports

OTHER = NodeId("b")
KEYS_REQUEST = KeysIssue(service="s", partition=0, count=1)


def settings(node: str, port: int) -> NodeSettings:
    platform = PlatformService(address="http://127.0.0.1:1")
    return NodeSettings(
        node_id=node,
        data_centre="d",
        region="r",
        http=Listen(host="127.0.0.1", port=1),
        peer=Listen(host="127.0.0.1", port=port),
        log=platform,
        instance_list=platform,
    )


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.ports = free_ports(2)
        self.caller = await self.links("a", self.ports[0])
        address = f"127.0.0.1:{self.ports[1]}"
        self.caller.address_of = {OTHER: address}.get

    async def links(self, node: str, port: int) -> PeerLinks:
        links = PeerLinks(settings(node, port), Metrics())
        await links.start()
        self.addAsyncCleanup(links.stop)
        return links

    async def call(self, deadline_s: float) -> Any:
        return await self.caller.call(
            OTHER, MessageKind.KEYS, KEYS_REQUEST, KeysIssued, deadline_s
        )

    async def test_call_returns_reply_of_handler(self) -> None:
        other = await self.links("b", self.ports[1])

        async def issue(message: KeysIssue) -> KeysIssued:
            return KeysIssued(keys=[message.service])

        other.handle(MessageKind.KEYS, KeysIssue, issue)
        self.assertEqual(await self.call(30.0), Ok(KeysIssued(keys=["s"])))

    async def test_call_is_not_sent_when_peer_does_not_listen(self) -> None:
        # Guards against a queue that delivers the message after NOT_SENT was returned.
        self.assertEqual(await self.call(0.2), Err(PeerError.NOT_SENT))
        other = await self.links("b", self.ports[1])
        received: list[KeysIssue] = []

        async def issue(message: KeysIssue) -> KeysIssued:
            received.append(message)
            return KeysIssued()

        other.handle(MessageKind.KEYS, KeysIssue, issue)
        self.assertTrue((await self.call(30.0)).is_ok())
        self.assertEqual(len(received), 1)

    async def test_call_fails_without_registered_handler(self) -> None:
        await self.links("b", self.ports[1])
        self.assertEqual(await self.call(30.0), Err(PeerError.FAILED))

    async def test_link_is_replaced_when_peer_goes_silent(self) -> None:
        # Guards against reusing a connection that no longer responds.
        context = zmq.asyncio.Context()
        silent = context.socket(zmq.ROUTER)
        silent.bind(f"tcp://127.0.0.1:{self.ports[1]}")
        self.addCleanup(context.destroy, 0)
        self.assertEqual(await self.call(60.0), Err(PeerError.NO_REPLY))
        identities = {(await silent.recv_multipart())[0]}
        pending_call = asyncio.create_task(self.call(60.0))
        while len(identities) < 2:
            identities.add((await silent.recv_multipart())[0])
        self.assertEqual(await pending_call, Err(PeerError.NO_REPLY))

    async def test_slow_call_succeeds_on_healthy_link(self) -> None:
        # Guards against replacing a link because a handler is slow.
        other = await self.links("b", self.ports[1])

        async def issue(_message: KeysIssue) -> KeysIssued:
            await asyncio.sleep(3.0)
            return KeysIssued(keys=["late"])

        other.handle(MessageKind.KEYS, KeysIssue, issue)
        self.assertEqual(await self.call(60.0), Ok(KeysIssued(keys=["late"])))

    async def test_call_fails_when_peer_has_restarted(self) -> None:
        # Guards against calls that wait until their deadline because the restarted
        # peer replies to pings.
        other = await self.links("b", self.ports[1])
        received = asyncio.Event()

        async def wait(_message: KeysIssue) -> KeysIssued:
            received.set()
            await asyncio.Event().wait()
            return KeysIssued()

        other.handle(MessageKind.KEYS, KeysIssue, wait)
        pending_call = asyncio.create_task(self.call(600.0))
        await received.wait()
        await other.stop()
        await self.links("b", self.ports[1])
        self.assertEqual(await pending_call, Err(PeerError.NO_REPLY))

    async def test_call_to_node_with_keys_requires_keys(
        self,
    ) -> None:
        # Guards against a node with keys that accepts messages without them.
        public, secret = (key.decode() for key in zmq.curve_keypair())
        settings_with_keys = settings("b", self.ports[1])
        settings_with_keys.peer_keys = PeerKeys(public=public, secret=secret)
        other = PeerLinks(settings_with_keys, Metrics())
        await other.start()
        self.addAsyncCleanup(other.stop)

        async def issue(message: KeysIssue) -> KeysIssued:
            return KeysIssued(keys=[message.service])

        other.handle(MessageKind.KEYS, KeysIssue, issue)
        self.assertEqual(await self.call(0.5), Err(PeerError.NOT_SENT))
        port = free_ports(1)[0]
        caller = PeerLinks(settings("c", port), Metrics())
        caller.settings.peer_keys = settings_with_keys.peer_keys
        await caller.start()
        self.addAsyncCleanup(caller.stop)
        caller.address_of = self.caller.address_of
        result = await caller.call(
            OTHER, MessageKind.KEYS, KEYS_REQUEST, KeysIssued, 30.0
        )
        self.assertEqual(result, Ok(KeysIssued(keys=["s"])))

    async def test_calls_succeed_after_malformed_messages(self) -> None:
        other = await self.links("b", self.ports[1])

        async def issue(_message: KeysIssue) -> KeysIssued:
            return KeysIssued()

        other.handle(MessageKind.KEYS, KeysIssue, issue)
        context = zmq.asyncio.Context()
        self.addCleanup(context.destroy, 0)
        dealer = context.socket(zmq.DEALER)
        dealer.connect(f"tcp://127.0.0.1:{self.ports[1]}")
        for frames in ([b"x"], [b"\xff", b"1", b"{"], [b"keys", b"1", b"\xc1"]):
            await dealer.send_multipart(frames)
        self.assertTrue((await self.call(30.0)).is_ok())
