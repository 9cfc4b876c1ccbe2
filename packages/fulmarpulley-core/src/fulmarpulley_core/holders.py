"""Decide which service holds an upstream that several documents name.

The holder is the service whose accepted documents have named the address without
interruption since the lowest offset. The fold keeps that offset for each address, so
that all readers agree, and the teams of the services need not coordinate.
"""

from collections.abc import Iterable
from typing import Any

from .config_events import AcceptedDocument
from .ids import Revision, ServiceName


def named_since(
    before: AcceptedDocument | None, document: Any, revision: Revision
) -> dict[str, Revision]:
    """Return the revision since which each address is named without interruption."""
    known = before.since if before is not None else {}
    return {address: known.get(address, revision) for address in _addresses(document)}


def holders(accepted: Iterable[AcceptedDocument]) -> dict[str, ServiceName]:
    """Return the service that holds each named address."""
    earliest: dict[str, tuple[Revision, ServiceName]] = {}
    for item in accepted:
        for address in _addresses(item.document):
            candidate = (item.since.get(address, item.revision), item.service)
            earliest[address] = min(candidate, earliest.get(address, candidate))
    return {address: service for address, (_, service) in earliest.items()}


def _addresses(document: Any) -> list[str]:
    # A document that this version of the program cannot validate may name upstreams.
    upstreams = document.get("upstreams") if isinstance(document, dict) else None
    if not isinstance(upstreams, list):
        return []
    entries = (entry for entry in upstreams if isinstance(entry, dict))
    addresses = (entry.get("address") for entry in entries)
    return [address for address in addresses if isinstance(address, str)]
