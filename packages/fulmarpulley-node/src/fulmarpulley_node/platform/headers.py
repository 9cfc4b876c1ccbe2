"""Select the headers that are forwarded."""

from collections.abc import Mapping

from multidict import CIMultiDict

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
