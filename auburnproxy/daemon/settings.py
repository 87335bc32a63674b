"""Settings of a daemon on the product's own platform, from one YAML file."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from .. import findings
from ..errors import DocumentError
from ..findings import Document, Finding

SECRET_MIN_CHARS = 16
ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"
NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"


class Listen(NamedTuple):
    """Addresses that the daemon listens on, IP number and port."""

    callers: str
    internal: str
    peers: str


class Platform(NamedTuple):
    """Base URLs of the platform's services."""

    log: str
    hosts: str
    weights: str


class Seed(NamedTuple):
    """A daemon to contact before the roster is known."""

    name: str
    failure_domain: str
    peers: str
    internal: str


class Calls(NamedTuple):
    """Limits of the callers' requests."""

    body_bytes: int = 1_048_576
    body_timeout_s: float = 10.0
    default_deadline_s: float = 30.0
    longest_deadline_s: float = 600.0


class Log(NamedTuple):
    """Logging options."""

    level: str = "INFO"
    json: bool = False


class Settings(NamedTuple):
    """All settings of one daemon."""

    name: str
    failure_domain: str
    listen: Listen
    platform: Platform
    secret: str
    """Secret shared between daemons; callers must not know it."""
    operator_key: str
    seeds: tuple[Seed, ...]
    calls: Calls
    log: Log
    drain_s: float
    """Seconds from the stop signal until the process has exited."""


def _object(required: dict[str, Any], optional: dict[str, Any] | None = None) -> Any:
    return {
        "type": "object",
        "properties": {**required, **(optional or {})},
        "required": list(required),
        "additionalProperties": False,
    }


_NAME = {"type": "string", "pattern": NAME_PATTERN}
_ADDRESS = {"type": "string", "pattern": ADDRESS_PATTERN}
_URL = {"type": "string", "pattern": "^https?://"}
_SECRET = {"type": "string", "minLength": SECRET_MIN_CHARS}
_SECONDS = {"type": "number", "exclusiveMinimum": 0}

SCHEMA = _object(
    {
        "name": _NAME,
        "failure_domain": _NAME,
        "listen": _object(
            {"callers": _ADDRESS, "internal": _ADDRESS, "peers": _ADDRESS}
        ),
        "platform": _object({"log": _URL, "hosts": _URL, "weights": _URL}),
        "secret": _SECRET,
        "operator_key": _SECRET,
    },
    {
        "seeds": {
            "type": "array",
            "items": _object(
                {
                    "name": _NAME,
                    "failure_domain": _NAME,
                    "peers": _ADDRESS,
                    "internal": _ADDRESS,
                }
            ),
        },
        "calls": _object(
            {},
            {
                "body_bytes": {"type": "integer", "minimum": 1024},
                "body_timeout_s": _SECONDS,
                "default_deadline_s": _SECONDS,
                "longest_deadline_s": _SECONDS,
            },
        ),
        "log": _object(
            {},
            {
                "level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
                "json": {"type": "boolean"},
            },
        ),
        "drain_s": _SECONDS,
    },
)


def _cross_findings(document: Document) -> list[Finding]:
    value = document.value
    found = []
    place_by_address: dict[str, str] = {}
    for key, address in value["listen"].items():
        first = place_by_address.setdefault(address, key)
        if first != key:
            message = f"{address} is taken by listen.{first}"
            found.append(document.finding(("listen", key), "repeated", message))
    if value["secret"] == value["operator_key"]:
        message = "operators must not hold the daemons' secret"
        found.append(document.finding(("operator_key",), "repeated", message))
    names: set[str] = {value["name"]}
    for index, seed in enumerate(value.get("seeds", ())):
        if seed["name"] in names:
            message = f"{seed['name']} stands twice"
            found.append(
                document.finding(("seeds", index, "name"), "repeated", message)
            )
        names.add(seed["name"])
    calls = Calls(**value.get("calls", {}))
    if calls.default_deadline_s > calls.longest_deadline_s:
        message = "longer than calls.longest_deadline_s"
        place = ("calls", "default_deadline_s")
        found.append(document.finding(place, "range", message))
    return found


def read_settings(text: str, *, file: str = "<settings>") -> Settings:
    """Return checked settings.

    :param text: the YAML document
    :param file: the name to report findings under
    :raises DocumentError: with every finding
    """
    document = findings.parse(text, file=file)
    value = findings.check(document, SCHEMA)
    found = _cross_findings(document)
    if found:
        raise DocumentError(found)
    return Settings(
        name=value["name"],
        failure_domain=value["failure_domain"],
        listen=Listen(**value["listen"]),
        platform=Platform(**value["platform"]),
        secret=value["secret"],
        operator_key=value["operator_key"],
        seeds=tuple(Seed(**seed) for seed in value.get("seeds", ())),
        calls=Calls(**value.get("calls", {})),
        log=Log(**value.get("log", {})),
        drain_s=value.get("drain_s", 30.0),
    )


def load_settings(path: Path) -> Settings:
    """Return the checked settings of a file.

    :param path: the YAML file
    :raises DocumentError: with every finding, also if the file can't be read
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError([Finding(str(path), 1, "", "file", str(error))]) from error
    return read_settings(text, file=str(path))
