"""Decoding of the operators' records: the configuration and domain evacuations."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import msgspec

from ..decoding import JsonDecoder
from ..gateway.route import (
    DEFAULT_ATTEMPTS,
    Account,
    Configuration,
    EngineSpec,
    ModelSpec,
    RequestLimits,
    Route,
    RouteKind,
    ServiceSpec,
    Target,
)

MS_PER_S = 1000
MAX_TIME_S = 86_400.0
"""Bound of configured times: one day."""
MAX_FACTOR = 1e6
"""Bound of configured counts, rates and factors; products of a few stay finite."""
MAX_TOKENS = 1e12
"""Bound of the configured memory of an engine."""
PER_K, PER_M = 1e3, 1e6
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
ROUTE_KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str = ""
    traffic_split: list[_Split] = []
    target_latency_ms: float = 0.0
    gap_aim_ms: float = 0.0
    """Objective for the interval between two events of a stream."""
    max_attempts: int = DEFAULT_ATTEMPTS
    resumable: bool = False
    public: bool = False
    priority: int = 0


class _Model(msgspec.Struct, rename="kebab"):
    name: str
    size: int
    """Number of hosts per replica."""
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _Usual(msgspec.Struct, frozen=True):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    models: list[_Model] = []
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    read_per_s: float = 0.0
    """Prefill rate in prompt tokens per second."""
    stride: int = 1
    """Number of tokens per event of a stream."""
    loads_at_once: int = 1
    loads_per_s: float = msgspec.field(default=0.0, name="loads-per-s")
    form_ms: float = msgspec.field(default=0.0, name="form-ms")
    far_x: float = 1.0
    """Slowdown factor of a group whose engines span several fabric domains."""
    usual: _Usual = _Usual()
    context_per_k: Any = 0.0
    """Milliseconds that 1,000 tokens of a request's context add to a step."""
    pairs_per_m: Any = 0.0
    """Milliseconds to read a million pairs of a prompt token and an earlier one."""
    chunk: Any = 0.0
    """Most prompt tokens that a step reads."""
    kv_capacity_tokens: Any = msgspec.field(default=0.0, name="kv-capacity-tokens")


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, rename="kebab", frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] | None = None
    limits: _Limits = _Limits()


_decoder = JsonDecoder(_Config)


def read_configuration(value: bytes) -> Configuration:
    """Decode the operators' configuration.

    :param value: the record's value
    :raises UnreadableError: if any part of it cannot be decoded
    """
    config = _decoder.decode(value)
    routes_by_host: dict[str, list[Route]] = {}
    for route in map(_to_route, config.routes):
        routes_by_host.setdefault(route.host, []).append(route)
    for routes in routes_by_host.values():
        routes.sort(key=lambda route: -len(route.prefix))
    return Configuration(
        version=config.version,
        routes_by_host={host: tuple(found) for host, found in routes_by_host.items()},
        services_by_name={
            service.name: _to_service_spec(service) for service in config.services
        },
        account_by_key={
            key: Account(tenant.name, tenant.priority)
            for tenant in config.tenants or ()
            for key in tenant.api_keys
        },
        requires_keys=config.tenants is not None,
        limits=RequestLimits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            idle_s=config.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _to_route(route: _Route) -> Route:
    weight_by_service: defaultdict[str, float] = defaultdict(float)
    for split in route.traffic_split or [_Split(route.service)]:
        weight_by_service[split.service] += max(split.weight, 0.0)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        # Requests of an unknown kind are treated as non-idempotent and never retried.
        kind=ROUTE_KIND_BY_NAME.get(route.kind, RouteKind.ONCE),
        targets=tuple(Target(*item) for item in weight_by_service.items()),
        timeout_s=_bounded(route.timeout_ms / MS_PER_S, 0.0, MAX_TIME_S),
        objective_s=route.target_latency_ms / MS_PER_S,
        pause_objective_s=route.gap_aim_ms / MS_PER_S,
        attempts=max(route.max_attempts, DEFAULT_ATTEMPTS),
        resumable=route.resumable,
        public=route.public,
        priority=route.priority,
    )


def _to_service_spec(service: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=service.name,
        cold_s=service.cold_start_s,
        cold_per_s=max(service.cold_per_s, 0.0),
        engine=_to_engine_spec(service.engine) if service.engine else None,
    )


def _bounded(value: float, lowest: float, highest: float) -> float:
    """Return a figure, or the nearer bound if it is outside of them."""
    return min(max(value, lowest), highest)


def _to_engine_spec(engine: _Engine) -> EngineSpec:
    models = tuple(
        ModelSpec(
            name=model.name,
            hosts=model.size,
            share=_bounded(model.share, 0.0, MAX_FACTOR),
            pace=_bounded(model.pace, 0.0, MAX_FACTOR),
            load_s=_bounded(model.load_s, 0.0, MAX_TIME_S),
            warm_s=model.warm_s,
        )
        for model in engine.models
        if model.size >= 1
    )
    return EngineSpec(
        slots=engine.slots,
        models=models,
        step_s=engine.step_ms / MS_PER_S,
        step_per_request_s=engine.per_seq_ms / MS_PER_S,
        prompt_tokens_per_s=engine.read_per_s,
        tokens_per_event=engine.stride,
        loads_per_s=_bounded(engine.loads_per_s, 0.0, MAX_FACTOR),
        loads_at_once=round(_bounded(engine.loads_at_once, 1, MAX_FACTOR)),
        form_s=engine.form_ms / MS_PER_S,
        spread_factor=_bounded(engine.far_x, 1.0, MAX_FACTOR),
        usual_prompt_tokens=engine.usual.prompt,
        usual_answer_tokens=engine.usual.answer,
        step_s_per_held_token=_figure(engine.context_per_k) / MS_PER_S / PER_K,
        read_s_per_pair=_figure(engine.pairs_per_m) / MS_PER_S / PER_M,
        chunk_tokens=_figure(engine.chunk),
        capacity_tokens=_figure(engine.kv_capacity_tokens, highest=MAX_TOKENS),
    )


def _figure(value: object, *, highest: float = MAX_FACTOR) -> float:
    """Return a figure that only predictions use, 0 (unknown) if it is none."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return 0.0
    return float(_bounded(value, 0.0, highest))
