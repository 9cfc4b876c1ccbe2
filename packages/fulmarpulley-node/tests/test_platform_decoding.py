import unittest

import msgspec

from fulmarpulley_core.ids import ServiceName
from fulmarpulley_core.rollout.topology import Topology
from fulmarpulley_node.platform import wire
from fulmarpulley_node.platform.config_messages import to_topology
from fulmarpulley_node.platform.generation_stream import EventParser, StreamEvent
from fulmarpulley_node.platform.headers import end_to_end_headers
from fulmarpulley_node.platform.step_messages import to_step
from fulmarpulley_node.platform.store import frame, unframe
from fulmarpulley_node.platform.topic_watcher import decode_upstream

SERVER = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "a1",
    "State": "ready",
    "Slots": 4,
    "Models": [{"Name": "m", "Version": 3}],
    "born": 5,
}
NESTING = 100_000


def _with_field(name: str, text: str) -> bytes:
    """Return a worker's entry with a field replaced by a JSON text."""
    marked = msgspec.json.encode({**SERVER, name: "marked"})
    return marked.replace(b'"marked"', text.encode())


class EventParserTest(unittest.TestCase):
    def test_feed_waits_for_the_end_of_an_event(self) -> None:
        # A worker may stop in the middle of an event, which must then be ignored.
        parser = EventParser()
        self.assertEqual(parser.feed(b"id: 1\ndata: a"), [])
        self.assertEqual(parser.feed(b"b\n"), [])
        self.assertEqual(parser.feed(b"\nid: 2\n"), [StreamEvent(1, b"ab", None)])

    def test_feed_reads_a_change_of_version(self) -> None:
        events = EventParser().feed(b"weight-versions: 7\nid: 4\ndata: x\n\n")
        self.assertEqual(events, [StreamEvent(4, b"x", 7)])


class DecodeServerTest(unittest.TestCase):
    def test_decode_upstream_decodes_valid_entry(self) -> None:
        entry = decode_upstream("i-1", msgspec.json.encode(SERVER))
        assert entry is not None
        self.assertEqual((entry.upstream_id, entry.versions), ("i-1", {"m": 3}))

    def test_decode_upstream_returns_none_for_invalid_entry(self) -> None:
        invalid = [
            b"not json",
            msgspec.json.encode({**SERVER, "State": "resting"}),
            msgspec.json.encode({**SERVER, "Address": 7}),
            msgspec.json.encode({"Service": "s"}),
        ]
        for data in invalid:
            with self.subTest(data=data):
                self.assertIsNone(decode_upstream("i-1", data))

    def test_decode_upstream_returns_none_for_odd_values(self) -> None:
        # Each of them once ended a reader or a pool, or had requests wait in vain.
        odd = {
            "Extra": ["[" * NESTING + "]" * NESTING, '{"a":' * NESTING],
            "Slots": ["9" * 400, "1e400", "9" * 25, "65536", "-1"],
            "born": ["9" * 25],
            "Models": [f'[{{"Name":"m","Version":{"9" * 25}}}]'],
            "Address": [
                *('"10.0.0.1:99999"', '"10.0.0.1:0"', '"10.0.0.1:http"'),
                *('"10.0.0.1"', '"[::1:80"', '"10.0.0.1:80/x?y"', '"worker:80"'),
            ],
        }
        for name, texts in odd.items():
            for text in texts:
                with self.subTest(name=name, text=text[:40]):
                    data = _with_field(name, text)
                    self.assertIsNone(decode_upstream("i-1", data))


class TopologyTest(unittest.TestCase):
    def test_to_topology_rejects_route_without_service(self) -> None:
        route = {"Name": "r", "Host": "h", "PathPrefix": "/", "RouteKind": "safe"}
        config = {"Version": 1, "Routes": [route], "Services": []}
        entry = msgspec.json.decode(msgspec.json.encode(config), type=wire.ConfigEntry)
        with self.assertRaisesRegex(ValueError, "route r names no service"):
            to_topology(entry)


class ScalingTest(unittest.TestCase):
    def topology(self, scaling: str) -> Topology:
        service = f'{{"Name":"s","Scaling":{scaling}}}'
        config = f'{{"Version":1,"Routes":[],"Services":[{service}]}}'
        return to_topology(msgspec.json.decode(config, type=wire.ConfigEntry))

    def test_to_topology_decodes_scaling(self) -> None:
        limits = (
            self.topology(
                '{"Min":1,"Max":8,"BootS":4,"SpotPrice":0.18,"ZonePrices":{"a1":2}}'
            )
            .services[ServiceName("s")]
            .scaling
        )
        assert limits is not None
        self.assertEqual((limits.minimum, limits.maximum, limits.boot_s), (1, 8, 4.0))
        self.assertEqual((limits.spot_price, limits.prices), (0.18, {"a1": 2.0}))

    def test_odd_scaling_leaves_the_rest_of_the_configuration(self) -> None:
        # Guards against a configuration that is not applied for a part of one service.
        for text in (
            '{"Min":3,"Max":2,"BootS":4}',
            '{"Min":-1,"Max":2,"BootS":4}',
            '{"Min":1,"Max":true,"BootS":4}',
            '{"Min":1,"Max":2}',
            '{"Min":1,"Max":2,"BootS":-4}',
            '{"Min":1,"Max":2,"BootS":4,"ZonePrices":{"a1":"2"}}',
            '{"Min":1,"Max":2,"BootS":4,"ZonePrices":{"a1":-2}}',
            '{"Min":1,"Max":2,"BootS":4,"SpotPrice":null}',
            "[]",
            "7",
            "null",
        ):
            with self.subTest(text=text):
                service = self.topology(text).services[ServiceName("s")]
                self.assertIsNone(service.scaling)

    def test_decode_upstream_decodes_reclaimed_upstream(self) -> None:
        data = _with_field("Spot", 'true,"leaves_ms":1500')
        entry = decode_upstream("i-1", data)
        assert entry is not None
        self.assertEqual((entry.spot, entry.leaves_ms), (True, 1500.0))

    def test_odd_scaling_fields_leave_an_upstream_in_use(self) -> None:
        for field, text in (
            ("Spot", '"yes"'),
            ("Spot", "1"),
            ("leaves_ms", '"soon"'),
            ("leaves_ms", "[1]"),
            ("leaves_ms", "null"),
        ):
            with self.subTest(field=field, text=text):
                entry = decode_upstream("i-1", _with_field(field, text))
                assert entry is not None
                self.assertEqual((entry.spot, entry.leaves_ms), (False, None))


class SubmissionTest(unittest.TestCase):
    def test_to_step_rejects_duplicate_item_id(self) -> None:
        item = {"Id": "a", "Path": "/p"}
        body = msgspec.json.encode({"Items": [item, item]})
        submission = msgspec.json.decode(body, type=wire.Submission)
        with self.assertRaisesRegex(ValueError, "the same Id"):
            to_step(submission, "s", "h", "/p", 1)

    def test_to_step_rejects_request_id_that_no_record_can_hold(self) -> None:
        submission = msgspec.json.decode(b'{"Items":[]}', type=wire.Submission)
        for step_id in ("", "s\udcff"):
            with self.assertRaisesRegex(ValueError, "Request-Id"):
                to_step(submission, step_id, "h", "/p", 1)


class FrameTest(unittest.TestCase):
    def test_unframe_drops_truncated_record(self) -> None:
        data = frame(b"one") + frame(b"two")
        self.assertEqual(unframe(data, 0), [b"one", b"two"])
        self.assertEqual(unframe(data[:-1], 0), [b"one"])


class HeadersTest(unittest.TestCase):
    def test_end_to_end_headers_drops_hop_by_hop_headers(self) -> None:
        headers = {"Connection": "X-Hop", "X-Hop": "1", "Keep-Alive": "5", "A": "b"}
        self.assertEqual(dict(end_to_end_headers(headers)), {"A": "b"})
