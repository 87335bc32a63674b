"""Settings of the tool: the daemons' addresses and the operator key."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from ..errors import DocumentError
from ..findings import Finding, check, parse

ADDRESS = {"type": "string", "pattern": "^\\S+:[0-9]{1,5}$"}
SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["daemons", "operator_key"],
    "additionalProperties": False,
    "properties": {
        "daemons": {"type": "array", "items": ADDRESS, "minItems": 1},
        "operator_key": {"type": "string", "minLength": 1},
    },
}


class Settings(NamedTuple):
    """Contents of the tool's settings file."""

    daemons: tuple[str, ...]
    """Addresses of the daemons' internal listeners, tried in this order."""
    operator_key: str


def read_text(path: Path) -> str:
    """Return the text of a file.

    :raises DocumentError: if the file cannot be read
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise DocumentError([Finding(str(path), 1, "", "file", reason)]) from error


def read_settings(path: Path) -> Settings:
    """Read the settings from a YAML file.

    :raises DocumentError: with every finding
    """
    value = check(parse(read_text(path), file=str(path)), SCHEMA)
    return Settings(tuple(value["daemons"]), value["operator_key"])
