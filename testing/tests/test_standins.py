"""Guard against stand-ins that deviate from the specified protocols."""

import json
import tempfile
import unittest
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from typing import Any
from urllib import error, request

from fulmarpulley_testing import history, tokens
from fulmarpulley_testing.processes import (
    Processes,
    call,
    free_ports,
    set_faults,
    wait_for,
)


def read_events(url: str, body: Any) -> list[tuple[str, Any]]:
    """Return name and data of each event of a server-sent event stream."""
    http_request = request.Request(url, data=json.dumps(body).encode(), method="POST")
    with request.urlopen(http_request, timeout=20) as answer:
        blocks = answer.read().decode().split("\n\n")[:-1]
    pairs = [block.split("\n") for block in blocks]
    return [(name[7:], json.loads(data[6:])) for name, data in pairs]


def status_of(url: str, method: str = "GET", body: Any = None) -> int:
    try:
        call(url, method, body)
    except error.HTTPError as refusal:
        return refusal.code
    return 200


class StandInTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        self.processes = self.enterContext(Processes(self.folder))
        self.port = free_ports(1)[0]
        self.url = f"http://127.0.0.1:{self.port}"

    def start(self, name: str, *arguments: str) -> None:
        module = f"fulmarpulley_testing.{name}"
        self.processes.start(name, module, "--port", str(self.port), *arguments)
        self.processes.wait_ready(name, f"{self.url}/control/ready")


class LogServiceTest(StandInTest):
    def append(self, record_id: str) -> int:
        body = {"id": record_id, "data": "x"}
        return int(call(f"{self.url}/streams/s/records", "POST", body)["offset"])

    def read(self, start: int) -> Any:
        return call(f"{self.url}/streams/s/records?from={start}&max=10")

    def test_append_numbers_offsets_from_one(self) -> None:
        self.start("log_service")
        self.assertEqual([self.append("a"), self.append("b")], [1, 2])
        page = self.read(2)
        self.assertEqual((page["first"], page["next"]), (1, 3))
        self.assertEqual([record["id"] for record in page["records"]], ["b"])

    def test_retention_moves_first_offset(self) -> None:
        self.start("log_service")
        set_faults(self.port, retain_count=2)
        for name in "abc":
            self.append(name)
        self.assertEqual(self.read(1)["first"], 2)

    def test_append_is_stored_when_answer_is_lost_and_twice_when_doubled(self) -> None:
        self.start("log_service")
        set_faults(self.port, lose_answers=1, double_appends=1)
        with self.assertRaises(OSError):
            self.append("a")
        ids = [record["id"] for record in self.read(1)["records"]]
        self.assertEqual(ids, ["a", "a"])

    def test_append_is_refused_over_rate_limit_and_in_outage(self) -> None:
        self.start("log_service")
        set_faults(self.port, appends_per_s=1.0)
        self.append("a")
        body = {"id": "b", "data": ""}
        url = f"{self.url}/streams/s/records"
        self.assertEqual(status_of(url, "POST", body), 429)
        set_faults(self.port, outage=True)
        self.assertEqual(status_of(url, "POST", body), 503)


class EngineTest(StandInTest):
    def generate(self, prompt: str, **fields: Any) -> list[tuple[str, Any]]:
        body = {"request_id": prompt, "model": "model", "prompt": prompt}
        return read_events(f"{self.url}/v1/generate", {**body, **fields})

    def order(self, version: int, fence: int) -> int:
        body = {"order_id": f"{version}/{fence}", "action": "load", "model": "model"}
        body |= {"version": version, "fence": fence}  # type: ignore[dict-item]
        return status_of(f"{self.url}/v1/orders", "POST", body)

    def test_generate_streams_whole_deterministic_text(self) -> None:
        self.start("engine")
        events = self.generate("p", max_tokens=40, seed=3)
        length = tokens.generation_length("p", 3, 40)
        self.assertEqual(events[-1], ("end", {"count": length, "reason": "stop"}))
        texts = [event["token"] for name, event in events if name == "token"]
        expected = [tokens.token_text("p", 3, i, 0) for i in range(length)]
        self.assertEqual(texts, expected)

    def test_generate_resumes_after_given_tokens(self) -> None:
        self.start("engine")
        whole = self.generate("p", max_tokens=40, seed=3)
        given = [event["token"] for _, event in whole[:2]]
        rest = self.generate("p", max_tokens=40, seed=3, resume_tokens=given)
        self.assertEqual(rest, whole[2:])

    def test_swap_continues_stream_with_new_version(self) -> None:
        path = self.folder / "engine.jsonl"
        self.start("engine", "--history", str(path), "--tokens-per-s", "50")
        body = {"request_id": "r", "model": "model", "prompt": "p", "max_tokens": 400}
        http_request = request.Request(
            f"{self.url}/v1/generate", data=json.dumps(body).encode(), method="POST"
        )
        with request.urlopen(http_request, timeout=20) as answer:
            answer.readline()
            self.assertEqual(self.order(1, 1), 200)
            text = answer.read().decode()
        self.assertIn('"version":1', text)
        spans = [
            entry.version
            for entry in history.HistoryReader(self.folder).read()
            if isinstance(entry, history.SpanStarted)
        ]
        self.assertEqual(spans, [0, 1])

    def test_orders_fail_with_old_fence_or_injected_failure(self) -> None:
        self.start("engine", "--checks-fencing", "--swap-s", "0.01")
        self.assertEqual(self.order(1, 5), 200)
        self.assertEqual(self.order(2, 4), 409)
        set_faults(self.port, failed_swaps=1)
        self.assertEqual(self.order(3, 5), 500)
        wait_for(
            lambda: call(f"{self.url}/v1/load")["versions"] == {"model": 1}, "load"
        )

    def test_crash_ends_process_in_mid_stream(self) -> None:
        self.start("engine")
        set_faults(self.port, crash_after_tokens=2)
        with self.assertRaises((OSError, HTTPException)):
            self.generate("p", max_tokens=400)
        self.assertNotEqual(self.processes.by_name["engine"].wait(), 0)


class OtherStandInsTest(StandInTest):
    def test_plain_service_records_execution_when_answer_is_lost(self) -> None:
        self.start("plain_service")
        set_faults(self.port, lose_answers=1)
        body = {"key": "k", "body": "b"}
        with self.assertRaises(OSError):
            call(f"{self.url}/v1/call", "POST", body)
        answer = call(f"{self.url}/v1/call", "POST", body)
        self.assertEqual(answer, {"result": tokens.plain_result("b")})
        self.assertEqual(len(call(f"{self.url}/control/history")), 2)

    def test_weight_store_returns_stored_versions_only(self) -> None:
        self.start("weight_store")
        call(f"{self.url}/weights/m/1", "PUT", "data")
        self.assertEqual(call(f"{self.url}/weights/m/1"), "data")
        self.assertEqual(status_of(f"{self.url}/weights/m/2"), 404)

    def test_instance_list_shows_change_after_lag(self) -> None:
        self.start("instance_list", "--lag-s", "0.3")
        instance = {"id": "i", "kind": "node", "state": "live", "address": "a"}
        instance |= {"data_centre": "d", "region": "r", "peer_address": ""}
        change = {"instances": [instance]}
        call(f"{self.url}/control/instances", "PUT", change)
        wait_for(lambda: call(f"{self.url}/instances") == change, "change")

    def test_scorer_is_deterministic(self) -> None:
        self.start("scorer")
        body = {"input": "i", "text": "t"}
        first = call(f"{self.url}/v1/score", "POST", body)
        self.assertEqual(first, call(f"{self.url}/v1/score", "POST", body))


class FaultProxyTest(StandInTest):
    def setUp(self) -> None:
        super().setUp()
        self.start("plain_service")
        self.proxy_port, self.control_port = free_ports(2)
        ports = (self.proxy_port, self.port, self.control_port)
        names = ("--port", "--target-port", "--control-port")
        arguments = [
            str(part) for pair in zip(names, ports, strict=True) for part in pair
        ]
        self.processes.start("proxy", "fulmarpulley_testing.fault_proxy", *arguments)
        control = f"http://127.0.0.1:{self.control_port}"
        self.processes.wait_ready("proxy", f"{control}/control/ready")
        self.control = control

    def get_status(self, connection: HTTPConnection) -> int:
        connection.request("GET", "/control/ready")
        answer = connection.getresponse()
        answer.read()
        return answer.status

    def test_silence_stops_open_connections_but_not_new_ones(self) -> None:
        open_connection = HTTPConnection("127.0.0.1", self.proxy_port, timeout=10)
        self.assertEqual(self.get_status(open_connection), 200)
        call(f"{self.control}/control/silence", "POST")
        open_connection.sock.settimeout(0.5)
        with self.assertRaises(TimeoutError):
            self.get_status(open_connection)
        open_connection.close()
        new_connection = HTTPConnection("127.0.0.1", self.proxy_port, timeout=10)
        self.assertEqual(self.get_status(new_connection), 200)
        new_connection.close()

    def test_cut_ends_open_connections(self) -> None:
        open_connection = HTTPConnection("127.0.0.1", self.proxy_port, timeout=10)
        self.assertEqual(self.get_status(open_connection), 200)
        call(f"{self.control}/control/cut", "POST")
        with self.assertRaises((OSError, HTTPException)):
            self.get_status(open_connection)
        open_connection.close()
