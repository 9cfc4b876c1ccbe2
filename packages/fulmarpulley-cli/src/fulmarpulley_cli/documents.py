"""Check, compare and show service documents."""

import difflib
from collections.abc import Sequence
from pathlib import Path

from result import Err

from fulmarpulley_schema.generated.http import DocumentState, History

from . import files
from .client import Client, NodeError, client_settings
from .exits import CommandError, ExitCode
from .output import print_findings, print_json, print_line, print_table
from .registry import command


@command
def check(*paths: Path, json: bool = False) -> ExitCode:
    """Check documents and print all findings with file, line and JSON path.

    :param paths: files to check
    :param json: print JSON
    """
    findings = []
    for path in paths:
        result = files.read_document(path)
        if isinstance(result, Err):
            findings += result.err_value
    print_findings(findings, json)
    return ExitCode.FINDINGS if findings else ExitCode.OK


@command
async def get(
    service: str,
    *,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """Print the accepted document of a service.

    :param service: name of the service
    :param nodes: addresses of nodes, for example http://10.0.0.1:7000
    :param timeout_s: time limit for retries, in seconds
    :param json: print JSON
    """
    async with Client(client_settings(nodes, timeout_s)) as client:
        state = await client.get(f"/v1/documents/{service}", DocumentState)
    if json:
        print_json(state)
    else:
        print_line(files.format_document(state).rstrip("\n"))
    return ExitCode.OK


@command
async def diff(
    path: Path,
    *,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
) -> ExitCode:
    """Show the differences between the accepted document of a service and a file.

    :param path: file to compare
    :param nodes: addresses of nodes
    :param timeout_s: time limit for retries, in seconds
    """
    file = read_document_or_fail(path)
    async with Client(client_settings(nodes, timeout_s)) as client:
        state = await fetch_document_state(client, file.document.name)
    accepted = files.comparison_lines({} if state is None else state.document)
    revision = 0 if state is None else state.revision
    for line in difflib.unified_diff(
        accepted,
        files.comparison_lines(file.value),
        f"revision {revision}",
        str(path),
        lineterm="",
    ):
        print_line(line)
    return ExitCode.OK


@command
async def history(
    service: str,
    *,
    nodes: Sequence[str] = (),
    timeout_s: float = 30.0,
    json: bool = False,
) -> ExitCode:
    """List all edits of a service, including rejected ones.

    :param service: name of the service
    :param nodes: addresses of nodes
    :param timeout_s: time limit for retries, in seconds
    :param json: print JSON
    """
    async with Client(client_settings(nodes, timeout_s)) as client:
        edits = await client.get(f"/v1/documents/{service}/history", History)
    if json:
        print_json(edits)
        return ExitCode.OK
    print_table(
        ("offset", "base", "outcome", "author", "record"),
        [
            (edit.offset, edit.base_revision, edit.outcome, edit.author, edit.record_id)
            for edit in edits.entries
        ],
    )
    return ExitCode.OK


async def fetch_document_state(client: Client, service: str) -> DocumentState | None:
    """Fetch the accepted document; return None if the service does not exist."""
    try:
        return await client.get(f"/v1/documents/{service}", DocumentState)
    except NodeError as error:
        if error.body.code == "unknown_service":
            return None
        raise


def read_document_or_fail(path: Path) -> files.DocumentFile:
    """Read a document; print the findings and raise CommandError if it is invalid."""
    result = files.read_document(path)
    if isinstance(result, Err):
        print_findings(result.err_value, as_json=False)
        message = f"{path} has {len(result.err_value)} findings; nothing was published"
        raise CommandError(ExitCode.FINDINGS, message)
    return result.ok_value
