"""Operator configuration: routes, services, client accounts and request limits."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ..rendezvous import select_weighted

DEFAULT_ATTEMPTS = 1


class RouteKind(StrEnum):
    """Kind of a route, which determines what may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """Each request runs at most once."""
    STREAM = "stream"
    """Responses are event streams; they are retried only if the route is resumable."""


class Target(NamedTuple):
    """A service that receives a share of a route's requests."""

    service: str
    weight: float
    """Share of the requests in proportion to the sum of a route's weights; 0 for
    none."""


class Route(NamedTuple):
    """A route: requests for one host name below one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    """The services that its requests go to, each once."""
    timeout_s: float
    """Maximum time that a caller waits."""
    objective_s: float
    """Target time to the complete response, or to the first event of a stream."""
    pause_objective_s: float
    """Target for the longest pause between two events of a stream, 0 for other
    routes."""
    attempts: int
    """Maximum number of upstreams that one request may run on."""
    resumable: bool
    public: bool
    """Whether requests need no API key."""
    priority: int
    """Priority of its requests, 0 first; an account's own priority overrides it."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service(self, request_id: str) -> str | None:
        """Return the service for a request, which is the same for every try.

        :param request_id: distributes requests over the targets by weight
        :return: None if no target has a positive weight
        """
        return select_weighted(request_id, dict(self.targets))


class ModelSpec(NamedTuple):
    """A model and the requirements of one of its replicas."""

    name: str
    hosts: int
    """Hosts per replica."""
    share: float
    """Expected share of the service's work at the start."""
    pace: float
    """Factor on all processing times of a replica; smaller is faster."""
    load_s: float
    """Time to load the weights from the weight store."""
    warm_s: float
    """Time to join a replica with weights that the host already holds."""


class EngineSpec(NamedTuple):
    """Batching and loading parameters of a service's engines."""

    slots: int
    """Requests that a replica processes concurrently."""
    models: tuple[ModelSpec, ...]
    step_s: float
    """Time of one decoding step, which produces a token for each request."""
    step_per_request_s: float
    """Time that each request adds to a step."""
    prompt_tokens_per_s: float
    tokens_per_event: int
    loads_per_s: float
    """Loads per second that the weight store can start."""
    loads_at_once: int
    """Concurrent loads that the weight store serves without slowing down."""
    form_s: float
    """Time from the order to open the head until the replica serves."""
    usual_prompt_tokens: float
    usual_answer_tokens: float
    spread_factor: float = 1.0
    """Factor on all processing times of a replica with hosts in several fabric
    domains."""
    step_s_per_held_token: float = 0.0
    """Time that each token of a request's context adds to a step."""
    read_s_per_pair: float = 0.0
    """Prefill time for each pair of a prompt token and an earlier one."""
    chunk_tokens: float = 0.0
    """Most prompt tokens that one step reads, 0 if unknown."""
    capacity_tokens: float = 0.0
    """Tokens that a replica's memory holds, 0 if unknown."""

    def model(self, name: str) -> ModelSpec | None:
        """Return a model by its name, None if there is none."""
        return next((model for model in self.models if model.name == name), None)


class ServiceSpec(NamedTuple):
    """A service that requests are sent to."""

    name: str
    cold_s: float
    """Time for which a started upstream is cold."""
    cold_per_s: float
    """Requests per second that a cold upstream can take, 0 for no limit."""
    engine: EngineSpec | None
    """None for a plain service."""


class Account(NamedTuple):
    """A client account."""

    name: str
    priority: int | None
    """Priority of its requests, None to use the route's."""


class RequestLimits(NamedTuple):
    """Limits on callers' requests and connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0


class Configuration(NamedTuple):
    """One version of the whole operator configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes of each host name, longest prefix first."""
    services_by_name: Mapping[str, ServiceSpec]
    account_by_key: Mapping[str, Account]
    requires_keys: bool
    """Whether API keys are checked at all."""
    limits: RequestLimits

    def successor(self, route: Route) -> Route | None:
        """Return the route that takes the place of one of an older version, if any.

        :param route: a route, for the same requests
        """
        routes = self.routes_by_host.get(route.host, ())
        return next((r for r in routes if r.prefix == route.prefix), None)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        :param host: requested host name, without port
        :param path: requested path, without query
        """
        routes = self.routes_by_host.get(host, ())
        return next((r for r in routes if path.startswith(r.prefix)), None)


NO_CONFIGURATION = Configuration(-1, {}, {}, {}, True, RequestLimits())
"""Configuration before the first version has been read."""
