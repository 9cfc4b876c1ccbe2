"""Decode and validate service documents."""

from typing import Any

from result import Err, Ok, Result

from fulmarpulley_schema.checks import check_document
from fulmarpulley_schema.codec import convert
from fulmarpulley_schema.generated.document import ServiceDocument
from fulmarpulley_schema.generated.http import Finding

from .upstreams import upstream_dialects


def read_document(
    service: str, document: Any
) -> Result[ServiceDocument, list[Finding]]:
    """Decode a document for this node, or return all its validation errors."""
    converted = convert(document, ServiceDocument)
    if isinstance(converted, Err):
        return converted
    findings = check_document(converted.ok_value)
    findings += _name_and_dialect_findings(service, converted.ok_value)
    return Err(findings) if findings else Ok(converted.ok_value)


def _name_and_dialect_findings(
    service: str, document: ServiceDocument
) -> list[Finding]:
    findings = []
    if document.name != service:
        message = (
            f"name is {document.name!r}, but the document is for service {service!r}"
        )
        findings.append(Finding(path="$.name", message=message))
    for index, entry in enumerate(document.upstreams):
        if entry.dialect not in upstream_dialects:
            known = ", ".join(upstream_dialects)
            message = f"unknown dialect {entry.dialect!r}; use one of: {known}"
            path = f"$.upstreams[{index}].dialect"
            findings.append(Finding(path=path, message=message))
    return findings
