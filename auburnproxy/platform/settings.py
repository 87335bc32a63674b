"""Reading of the platform's settings file."""

from __future__ import annotations

import copy
from pathlib import Path
from typing import Any

from ..addresses import MAX_PORT
from ..daemon.deployment import GatewaySettings
from ..errors import DocumentError
from ..findings import Document, Finding, parse, schema_findings
from ..gateway.retry_budget import RetryAllowance

SETTINGS_VARIABLE = "AUBURNPROXY_CONFIG"
METRICS_PORT = 9464
"""Port of the metrics endpoint; the deployment file names the same port."""
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 200
MAX_FIGURE = 1e9
"""Largest figure that is used; a larger one counts as a mistake."""
POOL_CONTRACT = "pool"
"""Contract of deployments whose upstreams are a large pool that daemons share."""
OPTIONAL_KEYS = frozenset({"bootstrap", "bounds", "contracts", "limits"})
"""Keys that have defaults, which are used in place of values that cannot be."""
RESPONSE_MEMORY_FRACTION = 1 / 64
"""Maximum size of one response body as a fraction of the host's memory."""
BODY_MEMORY_FRACTION = 1 / 6
"""Part of the host's memory for the bodies of all requests in flight. Each body is held
up to three times: in blocks, joined, and while it is sent."""
UNREAD_MEMORY_FRACTION = 1 / 8
"""Part of the host's memory for answers that are held whole, or not taken."""
DEFAULT_MAX_FDS = 4096
RESERVED_FDS = 200
"""Descriptors that are not for sockets."""
OWN_SOCKETS = 50
"""Sockets that a daemon has open beside those of requests."""
SOCKETS_PER_REQUEST = 2
"""One to the caller and one to the upstream."""
MIN_CONNECTIONS = 16

_TEXT = {"type": "string", "minLength": 1}
_PORT = {"type": "integer", "minimum": 1, "maximum": MAX_PORT}
_ADDRESS = {
    "type": "string",
    "pattern": r"^\d{1,3}(\.\d{1,3}){3}:"
    r"([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])$",
}
_NUMBER = {"type": "number", "minimum": 0, "maximum": MAX_FIGURE}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_FIGURE}
_DURATION_MS = {"type": "number", "minimum": 100, "maximum": MAX_FIGURE}


def _object(properties: dict[str, Any], *, required: bool = True) -> dict[str, Any]:
    """Return the schema of an object; fields that are not listed are ignored."""
    names = list(properties) if required else []
    return {"type": "object", "properties": properties, "required": names}


SCHEMA = {
    "type": "object",
    "required": ["node-name", "ip", "zone", "listen", "internal-ports", "platform"],
    "properties": {
        "node-name": _TEXT,
        "ip": _TEXT,
        "zone": _TEXT,
        "listen": _object({"front": _ADDRESS, "readiness": _ADDRESS}),
        "internal-ports": {
            "type": "array",
            "items": _PORT,
            "minItems": 2,
        },
        "platform": _object({"address": _ADDRESS}),
        "bootstrap": {"type": "boolean"},
        "contracts": {"type": "array"},
        "bounds": _object(
            {
                "retry-budget-ratio": _NUMBER,
                "budget-slack": _NUMBER,
                "budget-window-s": _POSITIVE,
                "grace-s": _POSITIVE,
                "drain-ms": _DURATION_MS,
                "config-apply-ms": _DURATION_MS,
            },
            required=False,
        ),
        "limits": _object(
            {
                "memory-mb": _POSITIVE,
                "cpu-share": _POSITIVE,
                "cores": _POSITIVE,
                "max-fds": _POSITIVE,
            },
            required=False,
        ),
    },
}


def read_settings(path: Path) -> GatewaySettings:
    """Read the settings from a file.

    :param path: the platform's YAML file
    :raises DocumentError: with every finding, also if the file cannot be read
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError([Finding(str(path), 1, "", "file", str(error))]) from error
    value, ignored = _without_unusable(parse(text, file=str(path)))
    bounds = value.get("bounds", {})
    limits = value.get("limits", {})
    memory_mb = limits.get("memory-mb", DEFAULT_MEMORY_MB)
    heartbeat_port, internal_port = value["internal-ports"][:2]
    return GatewaySettings(
        name=value["node-name"],
        failure_domain=value["zone"],
        callers=value["listen"]["front"],
        readiness=value["listen"]["readiness"],
        beats=f"{value['ip']}:{heartbeat_port}",
        internal=f"{value['ip']}:{internal_port}",
        metrics=f"{value['ip']}:{METRICS_PORT}",
        store=value["platform"]["address"],
        first_start=value.get("bootstrap", False),
        allowance=RetryAllowance(
            ratio=bounds.get("retry-budget-ratio", 0.0),
            slack=bounds.get("budget-slack", 0.0),
            window_s=bounds.get("budget-window-s", 10.0),
        ),
        grace_s=bounds.get("grace-s", 8.0),
        cores=limits.get("cpu-share", 1.0) * limits.get("cores", 1),
        drain_s=bounds.get("drain-ms", 2000) / MS_PER_S,
        apply_s=bounds.get("config-apply-ms", 2000) / MS_PER_S,
        answer_bytes=int(memory_mb * BYTES_PER_MB * RESPONSE_MEMORY_FRACTION),
        body_bytes=int(memory_mb * BYTES_PER_MB * BODY_MEMORY_FRACTION),
        unread_bytes=int(memory_mb * BYTES_PER_MB * UNREAD_MEMORY_FRACTION),
        connections=_max_connections(limits.get("max-fds", DEFAULT_MAX_FDS)),
        load_aware=POOL_CONTRACT in value.get("contracts", ()),
        ignored=ignored,
    )


def _max_connections(max_fds: float) -> int:
    """Return how many connections callers may have open.

    :param max_fds: maximum number of open descriptors of the process
    """
    sockets = int(max_fds) - RESERVED_FDS - OWN_SOCKETS
    return max(sockets // SOCKETS_PER_REQUEST, MIN_CONNECTIONS)


def _without_unusable(document: Document) -> tuple[Any, tuple[str, ...]]:
    """Return the settings without optional values that cannot be used.

    Empty ones are left out silently, as the platform may leave keys empty.

    :return: the settings, and the findings on what else was left out
    :raises DocumentError: with every finding on the required settings
    """
    value = copy.deepcopy(document.value)
    if isinstance(value, dict):
        for key in OPTIONAL_KEYS & value.keys():
            if isinstance(value[key], dict):
                value[key] = {k: v for k, v in value[key].items() if not _is_empty(v)}
            if _is_empty(value[key]):
                del value[key]
    document = document._replace(value=value)
    findings = schema_findings(document, SCHEMA)
    optional = [f for f in findings if f.key.partition(".")[0] in OPTIONAL_KEYS]
    if len(optional) < len(findings):
        raise DocumentError([f for f in findings if f not in optional])
    for section, name in {finding.key.partition(".")[::2] for finding in optional}:
        if name:
            del value[section][name]
        else:
            del value[section]
    return value, tuple(str(finding) for finding in optional)


def _is_empty(value: Any) -> bool:
    """Return whether a setting has no value, such as the number ``.nan``."""
    return value is None or value == "" or value != value
