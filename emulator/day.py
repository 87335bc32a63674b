"""Day files: the installation, its request kinds and the faults to inject."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from auburnproxy.errors import DocumentError
from auburnproxy.findings import Finding, check, parse
from auburnproxy.gateway.route import EngineSpec, ModelSpec

from .replica import PrefillSettings

MS_PER_S = 1000

_COUNT = {"type": "integer", "minimum": 1}
_SECONDS = {"type": "number", "minimum": 0}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_TEXT = {"type": "string", "minLength": 1}


def _object(properties: dict[str, Any], *, optional: tuple[str, ...] = ()) -> Any:
    """Return the schema of an object that allows no other keys."""
    return {
        "type": "object",
        "properties": properties,
        "required": [name for name in properties if name not in optional],
        "additionalProperties": False,
    }


_SIZE = _object({"mean": _POSITIVE, "spread": _SECONDS, "most": _POSITIVE})
_MODEL = _object(
    {
        "name": _TEXT,
        "hosts": _COUNT,
        "share": _POSITIVE,
        "pace": _POSITIVE,
        "load-s": _POSITIVE,
        "warm-s": _POSITIVE,
    }
)
_KIND = _object(
    {
        "name": _TEXT,
        "model": _TEXT,
        "per-s": _POSITIVE,
        "prompt-tokens": _SIZE,
        "events": _SIZE,
        "objective-ms": _POSITIVE,
        "pause-ms": _POSITIVE,
        "limit-ms": _POSITIVE,
        "worth": _POSITIVE,
        "late-worth": _SECONDS,
        "repeatable": {"type": "boolean"},
    },
    optional=("model", "prompt-tokens", "events", "pause-ms", "repeatable"),
)
INSTALLATION = _object(
    {
        "failure-domains": _COUNT,
        "daemons": _COUNT,
        "engines": _COUNT,
        "fabric-domain": _COUNT,
        "slots": _COUNT,
        "step-ms": _POSITIVE,
        "step-per-request-ms": _POSITIVE,
        "prompt-tokens-per-s": _POSITIVE,
        "tokens-per-event": _COUNT,
        "chunk-tokens": _COUNT,
        "intake-ms": _SECONDS,
        "lost-packets": _SECONDS,
        "loads-per-s": _POSITIVE,
        "loads-at-once": _COUNT,
        "form-ms": _POSITIVE,
        "spread-factor": _POSITIVE,
        "models": {"type": "array", "items": _MODEL, "minItems": 1},
        "plain-engines": _COUNT,
        "plain-slots": _COUNT,
        "plain-work-ms": _POSITIVE,
        "kinds": {"type": "array", "items": _KIND, "minItems": 1},
    }
)
FAULTS = {
    "lose-engines": _object({"at-s": _SECONDS, "count": _COUNT, "dark": {}}),
    "lose-fabric-domain": _object(
        {"at-s": _SECONDS, "for-s": _POSITIVE, "index": {"type": "integer"}}
    ),
    "cut-domain": _object(
        {"at-s": _SECONDS, "for-s": _POSITIVE, "index": {"type": "integer"}}
    ),
    "take-domain-out": _object(
        {"at-s": _SECONDS, "for-s": _POSITIVE, "index": {"type": "integer"}}
    ),
    "burst": _object({"at-s": _SECONDS, "for-s": _POSITIVE, "times": _POSITIVE}),
    "restart-everything": _object({"at-s": _SECONDS, "for-s": _POSITIVE}),
    "store-away": _object({"at-s": _SECONDS, "for-s": _POSITIVE}),
    "slow-engines": _object(
        {"at-s": _SECONDS, "for-s": _POSITIVE, "count": _COUNT, "times": _POSITIVE}
    ),
    "lose-packets": _object({"at-s": _SECONDS, "for-s": _POSITIVE, "part": _POSITIVE}),
    "limit-engines": _object(
        {"at-s": _SECONDS, "for-s": _POSITIVE, "count": _COUNT, "per-s": _POSITIVE}
    ),
    "deadly-part": _object({"at-s": _SECONDS, "for-s": _POSITIVE, "part": _POSITIVE}),
    "kill-daemons": _object({"at-s": _SECONDS, "for-s": _POSITIVE, "count": _COUNT}),
}
"""Schema of each kind of fault; ``for-s`` is its duration."""
DAY = _object(
    {
        "installation": _TEXT,
        "seconds": _POSITIVE,
        "faults": {
            "type": "array",
            "items": {
                "type": "object",
                "properties": FAULTS,
                "minProperties": 1,
                "maxProperties": 1,
                "additionalProperties": False,
            },
        },
    }
)


class Size(NamedTuple):
    """Log-normal distribution of sizes."""

    mean: float
    spread: float
    """Standard deviation as a fraction of the mean."""
    maximum: float


class RequestKind(NamedTuple):
    """Class of requests with the same rate, sizes, limits and value."""

    name: str
    model: str
    """Empty for a request of the plain service."""
    per_s: float
    prompt_tokens: Size
    events: Size
    objective_s: float
    pause_s: float
    limit_s: float
    worth: float
    late_worth: float
    repeatable: bool


class Fault(NamedTuple):
    """Fault to inject."""

    kind: str
    at_s: float
    """Seconds after the start of the traffic."""
    values: Mapping[str, Any]


class Installation(NamedTuple):
    """Engines, daemons and request kinds of an installation."""

    failure_domains: int
    daemons: int
    engines: int
    fabric_domain: int
    """Number of engines in one fabric domain."""
    engine: EngineSpec
    prefill: PrefillSettings
    lost_packets: float
    """Fraction of an answer's blocks that lose a packet without an injected fault."""
    plain_engines: int
    plain_slots: int
    plain_work_s: float
    kinds: tuple[RequestKind, ...]


class Day(NamedTuple):
    """Installation, duration and faults of one simulated day."""

    name: str
    installation: Installation
    seconds: float
    faults: tuple[Fault, ...]


def read_day(path: Path) -> Day:
    """Read a day file.

    :param path: YAML file that names an installation file in the same folder
    :raises DocumentError: with every finding and its line
    """
    value = _read_checked(path, DAY)
    faults = []
    for each in value["faults"]:
        ((kind, values),) = each.items()
        faults.append(Fault(kind, values["at-s"], values))
    installation = _build_installation(
        _read_checked(path.parent / value["installation"], INSTALLATION)
    )
    return Day(path.stem, installation, value["seconds"], tuple(faults))


def _read_checked(path: Path, schema: Mapping[str, Any]) -> Any:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise DocumentError([Finding(str(path), 1, "", "file", str(error))]) from error
    return check(parse(text, file=str(path)), schema)


def _build_installation(value: Mapping[str, Any]) -> Installation:
    models = tuple(
        ModelSpec(
            each["name"],
            each["hosts"],
            each["share"],
            each["pace"],
            each["load-s"],
            each["warm-s"],
        )
        for each in value["models"]
    )
    prompts = [
        kind["prompt-tokens"]["mean"] for kind in value["kinds"] if "model" in kind
    ]
    engine = EngineSpec(
        slots=value["slots"],
        models=models,
        step_s=value["step-ms"] / MS_PER_S,
        step_per_request_s=value["step-per-request-ms"] / MS_PER_S,
        prompt_tokens_per_s=value["prompt-tokens-per-s"],
        tokens_per_event=value["tokens-per-event"],
        loads_per_s=value["loads-per-s"],
        loads_at_once=value["loads-at-once"],
        form_s=value["form-ms"] / MS_PER_S,
        usual_prompt_tokens=sum(prompts) / max(len(prompts), 1),
        usual_answer_tokens=100.0,
        spread_factor=value["spread-factor"],
    )
    return Installation(
        failure_domains=value["failure-domains"],
        daemons=value["daemons"],
        engines=value["engines"],
        fabric_domain=value["fabric-domain"],
        engine=engine,
        prefill=PrefillSettings(
            chunk_tokens=value["chunk-tokens"],
            admission_delay_s=value["intake-ms"] / MS_PER_S,
        ),
        lost_packets=value["lost-packets"],
        plain_engines=value["plain-engines"],
        plain_slots=value["plain-slots"],
        plain_work_s=value["plain-work-ms"] / MS_PER_S,
        kinds=tuple(map(_request_kind, value["kinds"])),
    )


def _request_kind(value: Mapping[str, Any]) -> RequestKind:
    return RequestKind(
        name=value["name"],
        model=value.get("model", ""),
        per_s=value["per-s"],
        prompt_tokens=_read_size(value.get("prompt-tokens")),
        events=_read_size(value.get("events")),
        objective_s=value["objective-ms"] / MS_PER_S,
        pause_s=value.get("pause-ms", 0.0) / MS_PER_S,
        limit_s=value["limit-ms"] / MS_PER_S,
        worth=value["worth"],
        late_worth=value["late-worth"],
        repeatable=value.get("repeatable", True),
    )


def _read_size(value: Mapping[str, float] | None) -> Size:
    if value is None:
        return Size(1.0, 0.0, 1.0)
    return Size(value["mean"], value["spread"], value["most"])
