"""Publish edits of service documents and wait until they are in force."""

import asyncio
import getpass
import uuid
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec

from fulmarpulley_schema.generated.document import AttachState
from fulmarpulley_schema.generated.http import (
    DocumentEdit,
    DocumentState,
    EditOutcome,
    NodeStatus,
    SystemStatus,
)

from .client import Client, ClientSettings, NodeError, client_settings
from .documents import fetch_document_state, read_document_or_fail
from .exits import CommandError, ExitCode
from .output import print_json, print_line
from .registry import command

POLL_INTERVAL_S = 0.2


class EditReport(msgspec.Struct):
    """Report the outcome of an edit and the nodes where it is not yet in force."""

    service: str
    revision: int
    record_id: str
    outcome: EditOutcome
    lagging: list[str]


class StateChange(msgspec.Struct, frozen=True):
    """Describe a requested change of the state of one upstream."""

    service: str
    upstream: str
    state: AttachState
    author: str


@command
async def apply(
    path: Path,
    *,
    base: int | None = None,
    author: str = "",
    wait_s: float = 30.0,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Publish a document and wait until all nodes have it in force.

    :param path: file with the document
    :param base: revision that the edit is based on; by default the one in the
        header that `get` writes, or the current one if the file has no header
    :param author: author recorded in the history; the login name by default
    :param wait_s: seconds to wait until the edit is in force; with 0 the status is
        checked once
    :param nodes: addresses of nodes
    :param timeout_s: time limit for retries, in seconds
    :param json: print JSON
    """
    file = read_document_or_fail(path)
    async with Client(client_settings(nodes, timeout_s)) as client:
        revision = base if base is not None else file.base_revision
        if revision is None:
            revision = await _current_revision(client, file.document.name)
        edit = _new_edit(revision, author, file.value)
        report = await _publish(client, file.document.name, edit, wait_s)
    return _report_result(report, json)


@command
async def drain(
    service: str,
    upstream: str,
    *,
    author: str = "",
    wait_s: float = 30.0,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Set an upstream to draining, so that it gets no new work.

    :param service: name of the service
    :param upstream: id of the upstream
    :param author: author recorded in the history; the login name by default
    :param wait_s: seconds to wait until the edit is in force
    :param nodes: addresses of nodes
    :param timeout_s: time limit for retries, in seconds
    :param json: print JSON
    """
    change = StateChange(service, upstream, AttachState.DRAINING, author)
    report = await _publish_state_change(
        change, client_settings(nodes, timeout_s), wait_s
    )
    return _report_result(report, json)


@command
async def attach(
    service: str,
    upstream: str,
    *,
    author: str = "",
    wait_s: float = 30.0,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Set an upstream to attached, so that it gets work again.

    :param service: name of the service
    :param upstream: id of the upstream
    :param author: author recorded in the history; the login name by default
    :param wait_s: seconds to wait until the edit is in force
    :param nodes: addresses of nodes
    :param timeout_s: time limit for retries, in seconds
    :param json: print JSON
    """
    change = StateChange(service, upstream, AttachState.ATTACHED, author)
    report = await _publish_state_change(
        change, client_settings(nodes, timeout_s), wait_s
    )
    return _report_result(report, json)


def _new_edit(base: int, author: str, document: dict[str, Any]) -> DocumentEdit:
    return DocumentEdit(
        record_id=uuid.uuid4().hex,
        base_revision=base,
        author=author or getpass.getuser(),
        document=document,
    )


async def _current_revision(client: Client, service: str) -> int:
    state = await fetch_document_state(client, service)
    return 0 if state is None else state.revision


async def _publish_state_change(
    change: StateChange, settings: ClientSettings, wait_s: float
) -> EditReport:
    async with Client(settings) as client:
        edit = await _new_state_edit(client, change)
        return await _publish(client, change.service, edit, wait_s)


async def _new_state_edit(client: Client, change: StateChange) -> DocumentEdit:
    current = await client.get(f"/v1/documents/{change.service}", DocumentState)
    for entry in current.document["upstreams"]:
        if entry["id"] == change.upstream:
            entry["state"] = change.state.value
            return _new_edit(current.revision, change.author, current.document)
    known = ", ".join(entry["id"] for entry in current.document["upstreams"])
    message = f"{change.service} has no upstream {change.upstream!r}; it has: {known}"
    raise CommandError(ExitCode.USAGE, message)


async def _publish(
    client: Client, service: str, edit: DocumentEdit, wait_s: float
) -> EditReport:
    # Safe to retry after a lost response: the retry carries the same record id.
    try:
        state = await client.post(f"/v1/documents/{service}", edit, DocumentState)
    except NodeError as error:
        if error.body.code == EditOutcome.CONFLICT:
            raise CommandError(ExitCode.CONFLICT, error.body.message) from error
        raise
    lagging = await _wait_until_in_force(client, service, state.revision, wait_s)
    return EditReport(
        service, state.revision, edit.record_id, EditOutcome.ACCEPTED, lagging
    )


async def _wait_until_in_force(
    client: Client, service: str, revision: int, wait_s: float
) -> list[str]:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    while True:
        status = await client.get("/v1/status", SystemStatus)
        lagging = [
            node.node_id
            for node in status.nodes
            if _revision_in_force(node, service) < revision
        ]
        if not lagging or loop.time() >= deadline:
            return lagging
        await asyncio.sleep(POLL_INTERVAL_S)


def _revision_in_force(node: NodeStatus, service: str) -> int:
    for revision in node.revisions:
        if revision.service == service:
            return revision.in_force
    return 0


def _report_result(report: EditReport, json: bool) -> ExitCode:
    if json:
        print_json(report)
    else:
        print_line(f"{report.service}: accepted as revision {report.revision}")
        if report.lagging:
            print_line("not yet in force on: " + ", ".join(report.lagging))
        else:
            print_line("in force on all nodes")
    return ExitCode.NOT_IN_FORCE if report.lagging else ExitCode.OK
