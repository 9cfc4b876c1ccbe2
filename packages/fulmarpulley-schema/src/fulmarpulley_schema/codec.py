"""Encode and decode messages, and validate external input."""

import json
from functools import cache
from importlib import resources
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err, Ok, Result

from .generated.http import Finding

if TYPE_CHECKING:
    from jsonschema.protocols import Validator

T = TypeVar("T")
S = TypeVar("S", bound=msgspec.Struct)

_json_encoder = msgspec.json.Encoder()
_msgpack_encoder = msgspec.msgpack.Encoder()


def to_json(message: Any) -> bytes:
    """Encode a message as JSON."""
    return _json_encoder.encode(message)


def from_json(data: bytes | str, kind: type[T]) -> T:
    """Decode JSON; raise msgspec.DecodeError if it is invalid or does not fit."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (RecursionError, UnicodeError) as error:
        raise _to_decode_error(error) from error


def to_msgpack(message: Any) -> bytes:
    """Encode a message as MessagePack."""
    return _msgpack_encoder.encode(message)


def from_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack; raise msgspec.DecodeError if it is invalid or does not fit.

    Other writers may leave any bytes, also ones that are nested too deeply to decode.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (RecursionError, UnicodeError) as error:
        raise _to_decode_error(error) from error


def _to_decode_error(error: Exception) -> msgspec.DecodeError:
    nested = isinstance(error, RecursionError)
    return msgspec.DecodeError("nested too deeply" if nested else str(error))


def to_builtins(message: Any) -> Any:
    """Convert a message to dictionaries, lists and scalars."""
    return msgspec.to_builtins(message)


def parse(data: bytes | str, kind: type[S]) -> Result[S, list[Finding]]:
    """Decode untrusted JSON; return the message or all findings with their paths."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        line = getattr(error, "lineno", None)
        message = f"not valid JSON: {error}"
        return Err([Finding(path="$", message=message, line=line)])
    return convert(value, kind)


def convert(value: Any, kind: type[S]) -> Result[S, list[Finding]]:
    """Convert built-in values; return the message or all findings with their paths."""
    findings = [
        Finding(path=error.json_path, message=error.message)
        for error in _validator(kind).iter_errors(value)
    ]
    if findings:
        return Err(sorted(findings, key=lambda finding: finding.path))
    try:
        return Ok(msgspec.convert(value, kind))
    except (msgspec.ValidationError, UnicodeError, OverflowError) as error:
        return Err([Finding(path="$", message=str(error))])


@cache
def _validator(kind: type[msgspec.Struct]) -> "Validator":
    # Imported lazily: jsonschema takes 10 MB of memory, which a node that only decodes
    # trusted messages does not need.
    from jsonschema.validators import Draft202012Validator

    name = kind.__module__.rpartition(".")[2]
    source = resources.files(__package__) / "sources" / f"{name}.schema.json"
    schema = json.loads(source.read_text())
    definition = schema.get("$defs", {}).get(kind.__name__)
    if definition is not None:
        schema = {"$defs": schema["$defs"], "$ref": f"#/$defs/{kind.__name__}"}
    validator: Validator = Draft202012Validator(schema)
    return validator
