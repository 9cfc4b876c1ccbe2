"""Select the headers that are forwarded, and read numbers from headers."""

from collections.abc import Mapping

from multidict import CIMultiDict

# Longer numbers are not meant by anyone, and might not fit into the records of the log.
MAX_DIGITS = 15
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


def caller_credentials(headers: Mapping[str, str]) -> str:
    """Return the credentials by which a caller identifies itself, or an empty text."""
    return headers.get("Authorization", "")


def parse_int(text: str | None) -> int | None:
    """Return the whole number that a header or query holds, or None."""
    is_number = text is not None and text.isascii() and text.isdecimal()
    return int(text) if text and is_number and len(text) <= MAX_DIGITS else None
