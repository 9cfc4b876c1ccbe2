"""Read service documents from files and format them for editing."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from fulmarpulley_schema import jsonc
from fulmarpulley_schema.checks import check_document
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import DocumentState, Finding

_HEADER = re.compile(r"^// service (\S+) revision (\d+)\s*$", re.MULTILINE)


class DocumentFile(msgspec.Struct):
    """Hold a valid document and the base revision from its header, if it has one."""

    document: ServiceDocument
    value: dict[str, Any]
    base_revision: int | None


def read_document(path: Path) -> Result[DocumentFile, list[Finding]]:
    """Read and check a document; return it or the findings."""
    loaded = jsonc.load(path, ServiceDocument)
    if isinstance(loaded, Err):
        return loaded
    text = path.read_text(encoding="utf-8")
    document = loaded.ok_value
    findings = jsonc.locate(text, check_document(document), str(path))
    if findings:
        return Err(findings)
    value = jsonc.parse_value(text, str(path)).unwrap()
    header = _HEADER.search(text)
    base = int(header.group(2)) if header else None
    if header and header.group(1) != document.name:
        message = f"does not match service {header.group(1)!r} in the header"
        return Err([Finding(path="$.name", message=message, file=str(path))])
    return Ok(DocumentFile(document, value, base))


def format_document(state: DocumentState) -> str:
    """Format a document as JSON under a header with its service and revision."""
    header = f"// service {state.service} revision {state.revision}\n"
    return header + json.dumps(state.document, indent=2) + "\n"


def comparison_lines(document: dict[str, Any]) -> list[str]:
    """Format a document as lines of JSON with sorted keys, for use in a diff."""
    return json.dumps(document, indent=2, sort_keys=True).splitlines()
