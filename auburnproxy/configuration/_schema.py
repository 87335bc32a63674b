"""JSON schemas of the operators' list files, plans and grants."""

from __future__ import annotations

from typing import Any

NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9_.:/-]{0,127}$"}
DIGEST = {"type": "string", "pattern": "^[0-9a-f]{64}$"}
CALL = {"type": "string", "pattern": "^[A-Z]+ /\\S*$"}

PLANS: dict[str, Any] = {
    "type": "object",
    "required": ["plans"],
    "additionalProperties": False,
    "properties": {
        "plans": {
            "type": "array",
            "items": {
                "type": "object",
                "required": ["name", "key_digests", "concurrent"],
                "additionalProperties": False,
                "properties": {
                    "name": NAME,
                    "key_digests": {"type": "array", "items": DIGEST, "minItems": 1},
                    "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
                    "concurrent": {"type": "integer", "minimum": 1},
                    "queue": {"type": "integer", "minimum": 0},
                },
            },
        }
    },
}

GRANTS: dict[str, Any] = {
    "type": "object",
    "required": ["grants"],
    "additionalProperties": False,
    "properties": {
        "grants": {
            "type": "array",
            "items": {
                "type": "object",
                "required": ["plan"],
                "oneOf": [{"required": ["model"]}, {"required": ["service"]}],
                "additionalProperties": False,
                "properties": {
                    "plan": NAME,
                    "model": NAME,
                    "service": NAME,
                    "replicas": {"type": "integer", "minimum": 0},
                    "repeatable": {"type": "array", "items": CALL},
                },
            },
        }
    },
}
