"""Read JSON with comments and report findings with file, line and path."""

import json
import re
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from json_source_map import calculate
from result import Err, Ok, Result

from . import codec
from .generated.http import Finding

T = TypeVar("T", bound=msgspec.Struct)

_STRING = r'"(?:\\.|[^"\\])*"'
_COMMENT = re.compile(rf"{_STRING}|(/\*.*?\*/|//[^\r\n]*)", re.DOTALL)
_TRAILING_COMMA = re.compile(rf"{_STRING}|(,)(?=\s*[\]}}])", re.DOTALL)
_NOT_NEWLINE = re.compile(r"[^\r\n]")


def strip_comments(text: str) -> str:
    """Replace comments and trailing commas with spaces, so that offsets stay valid."""
    return _TRAILING_COMMA.sub(
        _replace_with_spaces, _COMMENT.sub(_replace_with_spaces, text)
    )


def load(path: Path, kind: type[T]) -> Result[T, list[Finding]]:
    """Read a file; return the message or all findings with file, line and path."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        return Err([Finding(path="$", message=f"cannot read: {error}", file=str(path))])
    return parse(text, kind, str(path))


def parse(text: str, kind: type[T], file: str) -> Result[T, list[Finding]]:
    """Decode JSON with comments; return the message or all findings with lines."""
    return parse_value(text, file).and_then(
        lambda value: codec.convert(value, kind).map_err(
            lambda findings: locate(text, findings, file)
        )
    )


def parse_value(text: str, file: str) -> Result[Any, list[Finding]]:
    """Decode JSON with comments to built-in values."""
    try:
        return Ok(json.loads(strip_comments(text)))
    except json.JSONDecodeError as error:
        message = f"not valid JSON: {error.msg}"
        return Err([Finding(path="$", message=message, line=error.lineno, file=file)])
    except RecursionError:
        return Err([Finding(path="$", message="nested too deeply", file=file)])


def locate(text: str, findings: list[Finding], file: str) -> list[Finding]:
    """Set the file and, where the path exists in the text, the line of each finding."""
    entries = calculate(strip_comments(text))
    for finding in findings:
        entry = entries.get(_to_json_pointer(finding.path))
        finding.file = file
        if entry is not None:
            finding.line = entry.value_start.line + 1
    return findings


def render(finding: Finding) -> str:
    """Format a finding as `file:line: path: message`."""
    location = finding.file or "input"
    if finding.line is not None:
        location = f"{location}:{finding.line}"
    return f"{location}: {finding.path}: {finding.message}"


def _replace_with_spaces(match: re.Match[str]) -> str:
    removed = match.group(1)
    return match.group(0) if removed is None else _NOT_NEWLINE.sub(" ", removed)


def _to_json_pointer(path: str) -> str:
    # Converts a JSONPath of jsonschema, such as $.upstreams[0].id, to a JSON pointer.
    parts = re.findall(r"\.([^.\[\]]+)|\[(\d+)\]|\['([^']*)'\]", path)
    names = ("".join(part) for part in parts)
    return "".join("/" + name.replace("~", "~0").replace("/", "~1") for name in names)
