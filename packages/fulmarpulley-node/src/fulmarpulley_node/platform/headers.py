"""Select the headers that are forwarded, and read keys and numbers from headers."""

from collections.abc import Mapping

from multidict import CIMultiDict, MultiMapping
from result import Err, Ok, Result

from fulmarpulley_core.rollout.accounts import is_usable_key

from ..rollout.key_gate import KeyFault

# Longer numbers are not meant by anyone, and might not fit into the records of the log.
MAX_DIGITS = 15
ACCOUNT_HEADER = "Tenant"
# On deployments with accounts, clients cannot choose the account that workers see, and
# their keys stay in the node.
IDENTITY_HEADERS = frozenset({"authorization", ACCOUNT_HEADER.lower()})
KEY_SCHEME = "bearer"
# Includes headers that the HTTP library sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers without hop-by-hop ones."""
    connection_options = headers.get("Connection", "")
    dropped = HOP_BY_HOP_HEADERS | {
        option.strip().lower() for option in connection_options.split(",")
    }
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept


def without_identity(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers without those that name the client or hold its key."""
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        # An item's header may have any name, and recipients may strip its blanks.
        if name.strip().lower() not in IDENTITY_HEADERS:
            kept.add(name, value)
    return kept


def caller_credentials(headers: Mapping[str, str]) -> str:
    """Return the credentials by which a caller identifies itself, or an empty text."""
    return headers.get("Authorization", "")


def client_key(headers: MultiMapping[str]) -> Result[str, KeyFault]:
    """Return the key that a client sends, or why there is none that can be valid."""
    fields = headers.getall("Authorization", [])
    if not fields:
        return Err(KeyFault.MISSING)
    if len(fields) > 1:
        return Err(KeyFault.SEVERAL_FIELDS)
    scheme, _, key = fields[0].partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return Err(KeyFault.OTHER_SCHEME)
    key = key.strip(" ")
    if not key:
        return Err(KeyFault.MISSING)
    return Ok(key) if is_usable_key(key) else Err(KeyFault.UNREADABLE)


def parse_int(text: str | None) -> int | None:
    """Return the whole number that a header or query holds, or None."""
    is_number = text is not None and text.isascii() and text.isdecimal()
    return int(text) if text and is_number and len(text) <= MAX_DIGITS else None
