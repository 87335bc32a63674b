"""The mechanisms that an experiment can take out, one by one."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from math import floor, inf
from typing import Any, NamedTuple
from unittest.mock import patch

from auburnproxy.formation import controller, placement
from auburnproxy.gateway import (
    health,
    silence_timeout,
    stream_forwarder,
    subsets,
    upstream_selector,
)
from auburnproxy.heartbeats import peer_group

from .daemons import EmulatedDaemon


class Mechanism(NamedTuple):
    """What an experiment changes to do without something."""

    without: str
    """What is missing then."""
    patches: Sequence[tuple[Any, str, Any]] = ()
    """Object, attribute and the value that it gets."""
    patch_daemon: Callable[[EmulatedDaemon], None] = lambda daemon: None
    """Modifies a daemon before it starts."""


def _tell_nobody(daemon: EmulatedDaemon) -> None:
    daemon.health.on_requests_changed = lambda host: None


def _count_alone(daemon: EmulatedDaemon) -> None:
    daemon.frontend._daemons = lambda: 1


def _even_shares(start: float, end: float, engine: Any) -> dict[str, float]:
    total = sum(model.share for model in engine.models)
    return {model.name: model.share / total for model in engine.models}


MECHANISMS: Mapping[str, Mechanism] = {
    "subsets": Mechanism(
        "each daemon sends to all near heads alike",
        [(subsets, "SUBSET_SIZE", 1_000_000)],
    ),
    "tellings": Mechanism(
        "sharers of a head learn of requests by beats alone", patch_daemon=_tell_nobody
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
        [(upstream_selector, "UNANSWERED_WEIGHT", 0.0)],
    ),
    "quiet-loads": Mechanism(
        "a head that has been silent for a moment counts as any other",
        [(upstream_selector, "QUIET_PENALTY", 0.0)],
    ),
    "suspect-loads": Mechanism(
        "heads that other daemons leave out count as any other",
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
        "first events are waited for as long as ever allowed",
        [(stream_forwarder, "FIRST_EVENT_FRACTION", 1_000_000.0)],
    ),
    "second-look": Mechanism(
        "a bound that has passed is not looked at again",
        [(silence_timeout, "RECHECK_DELAY_S", 0.0)],
    ),
    "resend-division": Mechanism(
        "each daemon takes the whole allowance of resends", patch_daemon=_count_alone
    ),
    "staging": Mechanism(
        "spares are given no weights",
        [(placement._Planner, "_plan_weight_loads", lambda self: [])],
    ),
    "one-model-a-fabric-domain": Mechanism(
        "every fabric domain serves every model",
        [(placement, "_model_shares", _even_shares)],
    ),
    "rounding": Mechanism(
        "parts of fabric domains are rounded down",
        [(placement, "_round_half_down", floor)],
    ),
    "spread-replicas": Mechanism(
        "spares of several fabric domains form nothing",
        [(controller, "plan_spread_replicas", lambda *inputs: [])],
    ),
    "two-readers": Mechanism(
        "one daemon of a failure domain reads the store",
        [(peer_group, "READERS_PER_DOMAIN", 1)],
    ),
}
"""By the names that the command takes."""


@contextmanager
def taken_out(name: str) -> Iterator[Callable[[EmulatedDaemon], None]]:
    """Do without a mechanism, and return what changes daemons.

    :param name: of the mechanism, empty for none
    """
    mechanism = MECHANISMS[name] if name else Mechanism("nothing")
    with ExitStack() as stack:
        for target, attribute, value in mechanism.patches:
            stack.enter_context(patch.object(target, attribute, value))
        yield mechanism.patch_daemon
