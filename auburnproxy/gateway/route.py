"""What operators configure: routes, services, client accounts and bounds."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from ..rendezvous import rank_names

DEFAULT_ATTEMPTS = 1


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    """Runs at most once for each request."""
    STREAM = "stream"
    """Answers with events; repeated only where the route is resumable."""


class Target(NamedTuple):
    """A service that takes a part of a route's requests."""

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of one host name below one path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    """Longest time that a caller is kept waiting."""
    objective_s: float
    """Time to the whole answer, or to the first event of a stream."""
    pause_objective_s: float
    """Longest pause between two events of a stream, 0 for other routes."""
    attempts: int
    """Upstreams that one request may be sent to."""
    resumable: bool
    public: bool
    """Whether a request needs no key."""
    priority: int
    """Rank of its requests, 0 first; an account's own rank goes before it."""

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service(self, request_id: str) -> str:
        """Return the service that a request goes to, the same for each try.

        :param request_id: spreads requests over the targets by their weights
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        turns = [t.service for t in self.targets for _ in range(t.weight)]
        place = rank_names(request_id, map(str, range(len(turns))))[0]
        return turns[int(place)]


class ModelSpec(NamedTuple):
    """A model and what one replica of it takes."""

    name: str
    hosts: int
    """Hosts of one replica."""
    share: float
    """Part of the service's work that is expected at the start."""
    pace: float
    """Factor on all times of a replica; less is faster."""
    load_s: float
    """Time to load the weights from the weight store."""
    warm_s: float
    """Time to join with weights that the host holds."""


class EngineSpec(NamedTuple):
    """How the engines of a service batch their requests."""

    slots: int
    """Requests that a replica works on at once."""
    models: tuple[ModelSpec, ...]
    step_s: float
    """Time of one step that writes a token for each request."""
    step_per_request_s: float
    """Time that each request adds to a step."""
    prompt_tokens_per_s: float
    tokens_per_event: int
    loads_per_s: float
    """Loads that the weight store starts in a second."""
    loads_at_once: int
    """Loads that share the weight store without slowing each other down."""
    form_s: float
    """Time from the order to serve until a replica serves."""
    usual_prompt_tokens: float
    usual_answer_tokens: float
    spread_factor: float = 1.0
    """Factor on all times of a replica with hosts in several fabric domains."""

    def model(self, name: str) -> ModelSpec | None:
        """Return a model by its name."""
        return next((model for model in self.models if model.name == name), None)


class ServiceSpec(NamedTuple):
    """A service that requests are sent to."""

    name: str
    cold_s: float
    """Time for which a started upstream is cold."""
    cold_per_s: float
    """Requests a second that a cold upstream bears, 0 for no bound."""
    engine: EngineSpec | None
    """None for a plain service."""


class Account(NamedTuple):
    """A client account."""

    name: str
    priority: int | None
    """Rank of its requests, None to use the route's."""


class Bounds(NamedTuple):
    """Bounds on what callers send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0


class Configuration(NamedTuple):
    """All that operators have configured, as one version."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    """Routes of each host name, the longest prefix first."""
    services_by_name: Mapping[str, ServiceSpec]
    account_by_key: Mapping[str, Account]
    checks_keys: bool
    """Whether requests need a key at all."""
    bounds: Bounds

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none.

        :param host: the host name that the caller asked for, without port
        :param path: the path, without query
        """
        routes = self.routes_by_host.get(host, ())
        return next((r for r in routes if path.startswith(r.prefix)), None)


NOTHING = Configuration(-1, {}, {}, {}, True, Bounds())
"""What is configured before the first version is known."""
