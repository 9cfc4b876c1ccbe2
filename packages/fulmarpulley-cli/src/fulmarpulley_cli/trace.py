"""Collect the log lines of one request, step or item from the logs of all nodes."""

import re
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from .exits import CommandError, ExitCode
from .output import print_line
from .registry import command

# State changes of a node, such as of its store, configuration and partitions, that help
# to explain the decisions that it made at that time.
CONTEXT_EVENTS = frozenset(
    {
        "config_in_force",
        "fence_renewed",
        "fence_taken",
        "log_lines_dropped",
        "node_started",
        "node_stopped",
        "order_finished",
        "order_void",
        "ownership_lapsed",
        "ownership_superseded",
        "partition_given_up",
        "partition_lost",
        "partition_owned",
        "partition_regained",
        "results_delayed",
        "results_resumed",
        "shutdown_started",
        "store_lost",
        "store_regained",
        "upstreams_lapsed",
        "version_named",
    }
)
# What nodes found out about the requests that crash upstreams.
CRASH_EVENTS = frozenset(
    {"crash_learned", "request_blocked", "request_unblocked", "upstream_crashed"}
)
BLOCKED_OUTCOME = "crashes_upstreams"
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


class LogLine(NamedTuple):
    """Hold a log line, its Unix time in seconds and its fields."""

    at: float
    text: str
    fields: dict[str, str]


@command
def trace(work: str, *logs: Path, around: float = 0.0) -> ExitCode:
    """Print all log lines of a request, step, item or upstream, sorted by time.

    For a request that was refused because it crashes upstreams, print these crashes,
    too.

    :param work: id of the request, step, item or upstream, or digest of a request
    :param logs: log files, or directories with files that end in .log
    :param around: also print events about the store, the configuration and partitions
        on the same nodes, up to this many seconds before the first and after the
        last of these lines
    """
    lines = [line for path in _log_files(logs) for line in _read_log(path)]
    matching = [line for line in lines if _names(line, work)]
    if not matching:
        raise CommandError(ExitCode.FINDINGS, f"no log line contains the id {work}")
    selected = matching + list(_crash_lines(lines, matching))
    if around > 0:
        selected += _context_lines(lines, matching, around)
    for _, text in sorted({(line.at, line.text) for line in selected}):
        print_line(text)
    return ExitCode.OK


def _log_files(logs: Sequence[Path]) -> Iterator[Path]:
    for path in logs:
        if path.is_dir():
            yield from sorted(path.glob("*.log"))
        elif path.is_file():
            yield path
        else:
            raise CommandError(ExitCode.USAGE, f"no such file or directory: {path}")


def _read_log(path: Path) -> Iterator[LogLine]:
    with path.open(encoding="utf-8", errors="replace") as stream:
        for text in stream:
            begin = text.find("event=")
            fields = dict(_FIELD.findall(text[begin:])) if begin >= 0 else {}
            try:
                yield LogLine(float(fields.get("at", "")), text.rstrip(), fields)
            except ValueError:
                continue


def _names(line: LogLine, work: str) -> bool:
    """Tell whether a field of a line is an id, or a list that contains it."""
    values = line.fields.values()
    return work in values or any(work in value.split(",") for value in values)


def _crash_lines(
    lines: Sequence[LogLine], matching: Sequence[LogLine]
) -> Iterator[LogLine]:
    """Yield the lines on crashes under the blocked ones of some requests."""
    digests = {
        line.fields["digest"]
        for line in matching
        if line.fields.get("outcome") == BLOCKED_OUTCOME and "digest" in line.fields
    }
    for line in lines:
        is_crash_event = line.fields.get("event") in CRASH_EVENTS
        if is_crash_event and any(_names(line, digest) for digest in digests):
            yield line


def _context_lines(
    lines: Sequence[LogLine], matching: Sequence[LogLine], around: float
) -> Iterator[LogLine]:
    nodes = {line.fields.get("node") for line in matching}
    begin = min(line.at for line in matching) - around
    end = max(line.at for line in matching) + around
    for line in lines:
        is_context_event = line.fields.get("event") in CONTEXT_EVENTS
        if (
            is_context_event
            and line.fields.get("node") in nodes
            and begin <= line.at <= end
        ):
            yield line
