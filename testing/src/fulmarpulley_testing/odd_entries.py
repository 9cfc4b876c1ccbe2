"""Build entries of the store that another writer got wrong."""

import json

from .platform_documents import configuration

DEEP = "[" * 100_000 + "]" * 100_000
LARGE = "9" * 400

# Fields of a worker's entry, as JSON texts, that have an odd value.
ODD_FIELDS: dict[str, dict[str, str]] = {
    "deeply nested": {"Extra": DEEP},
    "large number of slots": {"Slots": LARGE},
    "large start time": {"born": "9" * 25},
    "large version": {"Models": f'[{{"Name":"m0","Version":{"9" * 25}}}]'},
    "port out of range": {"Address": '"127.0.0.1:99999"'},
    "port that is no number": {"Address": '"127.0.0.1:http"'},
    "unclosed bracket": {"Address": '"[::1:80"'},
    "path after the port": {"Address": '"127.0.0.1:9/x?y"'},
}


def odd_worker(service: str, name: str) -> bytes:
    """Return the entry of a worker with an odd value, by its name."""
    fields = {
        "Service": json.dumps(service),
        "Address": '"127.0.0.1:9"',
        "Zone": '"a1"',
        "State": '"ready"',
        "Slots": "4",
        "born": "1",
        **ODD_FIELDS[name],
    }
    members = [f'"{field}":{text}' for field, text in fields.items()]
    return f"{{{','.join(members)}}}".encode()


def odd_configuration(version: int) -> bytes:
    """Return a configuration that is nested too deeply to be decoded."""
    return f'{json.dumps(configuration(version))[:-1]},"Extra":{DEEP}}}'.encode()


def odd_announcement() -> bytes:
    """Return the announcement of a weight version that cannot be decoded."""
    return f'{{"Model":{DEEP}}}'.encode()
