"""Mechanisms that an experiment can disable one at a time (ablations)."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from math import floor, inf
from typing import Any, NamedTuple
from unittest.mock import patch

from auburnproxy.formation import controller, placement
from auburnproxy.gateway import (
    health,
    scoring,
    silence_timeout,
    stream_forwarder,
    subsets,
    upstream_selector,
)
from auburnproxy.heartbeats import peer_group
from auburnproxy.quarantine import part_quarantine

from .daemons import EmulatedDaemon


class Mechanism(NamedTuple):
    """Changes that disable one mechanism."""

    effect: str
    """Behaviour without the mechanism."""
    patches: Sequence[tuple[Any, str, Any]] = ()
    """Object, attribute and replacement value."""
    patch_daemon: Callable[[EmulatedDaemon], None] = lambda daemon: None
    """Modifies a daemon before it starts."""


def _disable_request_notifications(daemon: EmulatedDaemon) -> None:
    daemon.health.on_requests_changed = lambda host: None


def _disable_budget_division(daemon: EmulatedDaemon) -> None:
    daemon.frontend.retry_budgets.daemons = lambda: 1


def _equal_domain_shares(start: float, end: float, engine: Any) -> dict[str, float]:
    total = sum(model.share for model in engine.models)
    return {model.name: model.share / total for model in engine.models}


MECHANISMS: Mapping[str, Mechanism] = {
    "subsets": Mechanism(
        "each daemon sends to all near heads",
        [(subsets, "SUBSET_SIZE", 1_000_000)],
    ),
    "tellings": Mechanism(
        "daemons that share a head learn of requests only from heartbeats",
        patch_daemon=_disable_request_notifications,
    ),
    "far-spill": Mechanism(
        "far replicas are used only if no near one takes a request",
        [
            (upstream_selector, "FAR_SPILL_LOAD", inf),
            (upstream_selector.UpstreamSelector, "_far_age_penalty", inf),
        ],
    ),
    "waiting-weight": Mechanism(
        "a request without its first event counts as any other",
        [(scoring, "UNANSWERED_WEIGHT", 0.0)],
    ),
    "quiet-loads": Mechanism(
        "a head that has been silent for a moment counts as any other",
        [(upstream_selector, "QUIET_PENALTY", 0.0)],
    ),
    "suspect-loads": Mechanism(
        "heads that other daemons exclude count as any other",
        [(upstream_selector, "SUSPECT_PENALTY", 0.0)],
    ),
    "missing-loads": Mechanism(
        "heads whose members are not registered count as any other",
        [(upstream_selector, "MISSING_MEMBER_PENALTY", 0.0)],
    ),
    "exclusions": Mechanism(
        "silent heads get further requests",
        [(health.Health, "is_excluded", lambda self, host: False)],
    ),
    "patience": Mechanism(
        "the first event may take the longest allowed time",
        [(stream_forwarder, "FIRST_EVENT_FRACTION", 1_000_000.0)],
    ),
    "second-look": Mechanism(
        "an expired silence timeout is not checked again",
        [(silence_timeout, "RECHECK_DELAY_S", 0.0)],
    ),
    "resend-division": Mechanism(
        "each daemon uses the whole retry budget", patch_daemon=_disable_budget_division
    ),
    "staging": Mechanism(
        "spares load no weights in advance",
        [(placement._Planner, "_plan_weight_loads", lambda self: [])],
    ),
    "one-model-a-fabric-domain": Mechanism(
        "every fabric domain serves every model",
        [(placement, "_model_shares", _equal_domain_shares)],
    ),
    "rounding": Mechanism(
        "fractional shares of fabric domains are rounded down",
        [(placement, "_round_half_down", floor)],
    ),
    "spread-replicas": Mechanism(
        "spares of several fabric domains form no replicas",
        [(controller, "plan_spread_replicas", lambda *inputs: [])],
    ),
    "quarantine": Mechanism(
        "prompt parts that end engines are never blocked",
        [(part_quarantine.PartQuarantine, "_block", lambda self, part: None)],
    ),
    "two-readers": Mechanism(
        "one daemon of a failure domain reads the store",
        [(peer_group, "READERS_PER_DOMAIN", 1)],
    ),
}
"""Mechanisms by the names that the command accepts."""


@contextmanager
def mechanism_disabled(name: str) -> Iterator[Callable[[EmulatedDaemon], None]]:
    """Disable a mechanism, and return the modification of daemons that goes with it.

    :param name: name of the mechanism, empty for none
    """
    mechanism = MECHANISMS[name] if name else Mechanism("nothing")
    with ExitStack() as stack:
        for target, attribute, value in mechanism.patches:
            stack.enter_context(patch.object(target, attribute, value))
        yield mechanism.patch_daemon
