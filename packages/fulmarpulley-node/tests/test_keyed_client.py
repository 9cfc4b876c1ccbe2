"""Check calls to partition homes whose replies are late or missing."""

import unittest
from typing import Any
from unittest.mock import patch

from result import Err, Ok, Result

from fulmarpulley_node import keyed_client
from fulmarpulley_node.keyed_client import KeyedClient
from fulmarpulley_node.peers import PeerError
from fulmarpulley_schema.generated.peer import KeyedPoll, WorkState


class Peers:
    """Returns the given replies in order and records the calls."""

    def __init__(self, *replies: Result[WorkState, PeerError]) -> None:
        self.replies = list(replies)
        self.calls: list[KeyedPoll] = []

    async def call(
        self, home: str, kind: Any, message: KeyedPoll, shape: Any, deadline_s: float
    ) -> Result[WorkState, PeerError]:
        self.calls.append(message)
        return self.replies.pop(0)


class Client(KeyedClient):
    """Maps every key to one home."""

    def __init__(self, peers: Peers) -> None:
        self.peers = peers  # type: ignore[assignment]

    def _home(self, service: str, key: str) -> Any:
        return "n1"


class CancelTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a cancellation that returns before the request has ended."""

    async def test_cancel_waits_for_the_end_of_the_request(self) -> None:
        peers = Peers(Ok(WorkState()), Ok(WorkState(done=True)))
        state = await Client(peers).cancel("s", "k0-1")
        assert state is not None
        self.assertTrue(state.done)
        self.assertEqual([call.cancel for call in peers.calls], [True, True])

    async def test_cancel_is_repeated_after_a_lost_reply(self) -> None:
        peers = Peers(Err(PeerError.NO_REPLY), Ok(WorkState(done=True)))
        state = await Client(peers).cancel("s", "k0-1")
        assert state is not None
        self.assertTrue(state.done)

    async def test_cancel_returns_last_state_after_timeout(self) -> None:
        peers = Peers(Ok(WorkState(known=True)))
        with patch.object(keyed_client, "CANCEL_TIMEOUT_S", 0.0):
            state = await Client(peers).cancel("s", "k0-1")
        self.assertEqual(state, WorkState(known=True))
