"""The engine part of a model service's configuration."""

from __future__ import annotations

MODEL = "m0"


def engine_spec() -> dict[str, object]:
    """Return the values of the site's engines, with one model of one engine."""
    model = {"name": MODEL, "size": 1, "share": 1.0, "pace": 1.0}
    return {
        "slots": 9,
        "models": [model | {"load_s": 12.0, "warm_s": 1.1}],
        "step_ms": 7.8,
        "per_seq_ms": 0.1,
        "read_per_s": 45900,
        "stride": 5,
        "loads_at_once": 7,
        "loads-per-s": 5.0,
        "form-ms": 100,
        "far_x": 2.0,
        "usual": {"prompt": 1000, "answer": 100},
    }


def prompt_headers(number: int) -> dict[str, str]:
    """Return the headers of a request whose last part is its own."""
    return {
        "Model": MODEL,
        "Token-Usage": "714,150",
        "Prompt-Prefix": f"5c1e07a2:40,{number + 16:08x}:674",
    }
