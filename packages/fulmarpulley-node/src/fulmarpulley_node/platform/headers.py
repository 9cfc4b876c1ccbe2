"""Choose the headers that are forwarded."""

from collections.abc import Mapping

from multidict import CIMultiDict

# Headers that concern one connection, and those that the HTTP library sets itself.
CONNECTION_HEADERS = frozenset(
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


def forwarded(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers without those that concern one connection."""
    named = headers.get("Connection", "")
    dropped = CONNECTION_HEADERS | {part.strip().lower() for part in named.split(",")}
    kept: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            kept.add(name, value)
    return kept
