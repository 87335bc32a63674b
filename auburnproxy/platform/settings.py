"""Reading of the platform's settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ..daemon.deployment import GatewaySettings
from ..errors import DocumentError
from ..findings import Finding, check, parse
from ..gateway.retry_budget import RetryAllowance

SETTINGS_VARIABLE = "AUBURNPROXY_CONFIG"
METRICS_PORT = 9464
"""Port of the metrics endpoint; the deployment file names the same port."""
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000
DEFAULT_MEMORY_MB = 200
RESPONSE_MEMORY_FRACTION = 1 / 64
"""Maximum size of one response body as a fraction of the host's memory."""

_TEXT = {"type": "string", "minLength": 1}
_ADDRESS = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"}
_NUMBER = {"type": "number", "minimum": 0}
_DURATION_MS = {"type": "number", "minimum": 100}


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
            "items": {"type": "integer"},
            "minItems": 2,
        },
        "platform": _object({"address": _ADDRESS}),
        "bootstrap": {"type": "boolean"},
        "bounds": _object(
            {
                "retry-budget-ratio": _NUMBER,
                "budget-slack": _NUMBER,
                "budget-window-s": _NUMBER,
                "grace-s": _NUMBER,
                "drain-ms": _DURATION_MS,
                "config-apply-ms": _DURATION_MS,
            },
            required=False,
        ),
        "limits": _object(
            {"memory-mb": _NUMBER, "cpu-share": _NUMBER, "cores": _NUMBER},
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
    value = check(parse(text, file=str(path)), SCHEMA)
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
    )
