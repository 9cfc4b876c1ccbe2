import asyncio
import contextlib
import io
import json
import tempfile
from pathlib import Path
from typing import Any
from unittest import IsolatedAsyncioTestCase

from aiohttp import web
from aiohttp.test_utils import TestServer

from fulmarpulley_cli.exits import ExitCode
from fulmarpulley_cli.main import main

DOCUMENT = {
    "name": "ticket-desk",
    "kind": "desk",
    "model": "m",
    "upstreams": [
        {
            "id": "w1",
            "address": "http://127.0.0.1:1",
            "data_centre": "sofia-mladost",
            "region": "Sofia",
        }
    ],
}


class FakeNode:
    """Accepts an edit if its base revision is current; can drop responses and lag."""

    def __init__(self) -> None:
        self.records: dict[str, int] = {}
        self.posts = 0
        self.revision = 0
        self.document: dict[str, Any] = {}
        self.lose_answers = 0
        self.lagging = False
        self.app = web.Application()
        self.app.router.add_post("/v1/documents/{service}", self.edit)
        self.app.router.add_get("/v1/documents/{service}", self.get)
        self.app.router.add_get("/v1/status", self.status)

    async def edit(self, request: web.Request) -> web.Response:
        edit = await request.json()
        self.posts += 1
        if edit["record_id"] not in self.records:
            if edit["base_revision"] != self.revision:
                message = "revision 9 by nadya was accepted first"
                return self.error(409, "conflict", message)
            self.revision += 10
            self.records[edit["record_id"]] = self.revision
            self.document = edit["document"]
        if self.lose_answers:
            self.lose_answers -= 1
            assert request.transport is not None
            request.transport.close()
        return self.state(self.records[edit["record_id"]])

    async def get(self, request: web.Request) -> web.Response:
        if not self.revision:
            return self.error(404, "unknown_service", "no such service")
        return self.state(self.revision)

    async def status(self, request: web.Request) -> web.Response:
        in_force = 0 if self.lagging else self.revision
        revision = {
            "service": "ticket-desk",
            "accepted": self.revision,
            "in_force": in_force,
        }
        node = {
            "node_id": "n1",
            "data_centre": "sofia-mladost",
            "region": "Sofia",
            "state": "alive",
            "ready": True,
            "config_offset": self.revision,
            "log_ok": True,
            "revisions": [revision],
            "pools": [],
        }
        return web.json_response({"nodes": [node]})

    def state(self, revision: int) -> web.Response:
        body = {"service": "ticket-desk", "revision": revision, "author": "a"}
        return web.json_response({**body, "document": self.document})

    def error(self, status: int, code: str, message: str) -> web.Response:
        body = {"code": code, "message": message, "ran": "not_run"}
        return web.json_response(body, status=status)


class EditsTest(IsolatedAsyncioTestCase):
    """Guards against edits that are published twice, lost or reported incorrectly."""

    async def asyncSetUp(self) -> None:
        self.node = FakeNode()
        server = TestServer(self.node.app)
        await server.start_server()
        self.addAsyncCleanup(server.close)
        self.address = str(server.make_url("")).rstrip("/")
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "desk.jsonc"
        self.path.write_text(json.dumps(DOCUMENT))

    async def run_command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            command = [*arguments, "--nodes", self.address]
            code = await asyncio.to_thread(main, command)
        return code, output.getvalue()

    async def test_apply_publishes_once_when_first_response_is_lost(self) -> None:
        self.node.lose_answers = 1
        code, output = await self.run_command("apply", str(self.path))
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(self.node.posts, 2)
        self.assertEqual(list(self.node.records.values()), [10])
        self.assertIn("accepted as revision 10", output)

    async def test_apply_reports_author_of_conflicting_edit_when_base_is_outdated(
        self,
    ) -> None:
        self.node.revision = 9
        code, output = await self.run_command("apply", str(self.path), "--base", "5")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn("nadya", output)

    async def test_apply_uses_base_revision_from_header_written_by_get(self) -> None:
        await self.run_command("apply", str(self.path))
        _, text = await self.run_command("get", "ticket-desk")
        self.path.write_text(text)
        self.node.revision = 11
        code, _ = await self.run_command("apply", str(self.path))
        self.assertEqual(code, ExitCode.CONFLICT)

    async def test_apply_lists_lagging_nodes_when_wait_expires(self) -> None:
        self.node.lagging = True
        arguments = ("apply", str(self.path), "--wait-s", "0.3")
        code, output = await self.run_command(*arguments)
        self.assertEqual(code, ExitCode.NOT_IN_FORCE)
        self.assertIn("not yet in force on: n1", output)

    async def test_apply_publishes_nothing_when_file_is_invalid(self) -> None:
        self.path.write_text('{"name": "Bad Name",\n"kind": "desk"}')
        code, output = await self.run_command("apply", str(self.path))
        self.assertEqual(code, ExitCode.FINDINGS)
        self.assertIn("desk.jsonc:1: $.name", output)
        self.assertEqual(self.node.posts, 0)

    async def test_drain_sets_upstream_state_to_draining(self) -> None:
        await self.run_command("apply", str(self.path))
        code, _ = await self.run_command("drain", "ticket-desk", "w1")
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(self.node.document["upstreams"][0]["state"], "draining")

    async def test_drain_lists_known_upstreams_when_upstream_is_unknown(self) -> None:
        await self.run_command("apply", str(self.path))
        code, output = await self.run_command("drain", "ticket-desk", "w7")
        self.assertEqual(code, ExitCode.USAGE)
        self.assertIn("it has: w1", output)
