"""How a limit is divided and who holds a part: pure functions of the window.

Every slot of a limit has a fixed order of members, the first of which that is
not gone holds it. Members may know of different ones that are gone: since a
member takes a slot only when all before it in that slot's order are gone, no
two of them ever hold the same one. A smaller limit has a subset of a larger
one's slots, so views that differ in the limit never add up to more than the
largest.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import lru_cache

from ..membership.epoch import Division, DomainWeight, Epoch, EpochWindow
from ..membership.member import Member
from ..membership.rendezvous import RANK_CACHE_SIZE, rank
from ..rendezvous import rank_names

PLAN_PREFIX = "plan/"
UPSTREAM_PREFIX = "upstream/"


def custodian(key: str, epoch: Epoch, gone: frozenset[str]) -> Member | None:
    """Return the member that holds a whole part in one epoch.

    :param key: the part
    :param epoch: the division
    :param gone: ids of members that can never act again
    """
    order = rank(key, epoch.members)
    return next((member for member in order if member.id not in gone), None)


def holds(key: str, window: EpochWindow, member_id: str) -> bool:
    """Return whether a member holds a whole part in every epoch of the window.

    :param key: the part
    :param window: what the member has to obey
    :param member_id: the member
    """
    holders = [custodian(key, epoch, window.gone) for epoch in window.epochs]
    return bool(holders) and all(h is not None and h.id == member_id for h in holders)


def share(limit: int, key: str, window: EpochWindow, member_id: str) -> int:
    """Return how many slots of a limit a member may use.

    The smallest of its shares in the window counts. A plan's limit is divided
    between the failure domains first.

    :param limit: slots of the whole limit
    :param key: the limit's key
    :param window: what the member has to obey
    :param member_id: the member
    """
    if not window.epochs:
        return 0
    if key.startswith(PLAN_PREFIX):
        limit = domain_share(limit, key, window.divisions, window.failure_domain)
    gone = window.gone
    return min(_epoch_share(limit, key, e, gone, member_id) for e in window.epochs)


def domain_share(
    limit: int, key: str, divisions: tuple[Division, ...], failure_domain: str
) -> int:
    """Return how many slots of a limit a failure domain may use.

    :param limit: slots of the whole limit
    :param key: the limit's key
    :param divisions: all that the failure domain has to obey
    :param failure_domain: its name
    """
    counts = (_division_share(limit, key, d, failure_domain) for d in divisions)
    return min(counts, default=0)


def _epoch_share(
    limit: int, key: str, epoch: Epoch, gone: frozenset[str], member_id: str
) -> int:
    order = rank(key, epoch.members)
    ids = [member.id for member in order]
    if member_id not in ids or member_id in gone:
        return 0
    count = len(ids)
    own = _slots_at(limit, count, ids.index(member_id))
    lost = [place for place, name in enumerate(ids) if name in gone]
    return own + sum(
        _heir(ids, place, turn, gone) == member_id
        for place in lost
        for turn in range(_slots_at(limit, count, place))
    )


def _slots_at(limit: int, count: int, place: int) -> int:
    """Return how many of ``limit`` slots, dealt in turn, fall to a place."""
    return (limit - place + count - 1) // count if place < limit else 0


def _heir(ids: list[str], place: int, turn: int, gone: frozenset[str]) -> str:
    """Return who holds the slot that a gone member was dealt in a turn."""
    others = ids[place + 1 :] + ids[:place]
    start = turn % max(len(others), 1)
    order = others[start:] + others[:start]
    return next(name for name in order if name not in gone)


def _division_share(limit: int, key: str, division: Division, domain: str) -> int:
    cycle = _cycle(key, division.weights)
    rounds, rest = divmod(limit, len(cycle)) if cycle else (0, 0)
    return rounds * cycle.count(domain) + cycle[:rest].count(domain)


@lru_cache(maxsize=RANK_CACHE_SIZE)
def _cycle(key: str, weights: tuple[DomainWeight, ...]) -> tuple[str, ...]:
    """Return the order in which slots are dealt to failure domains."""
    weight_by_domain = {w.failure_domain: w.weight for w in weights if w.weight}
    order = rank_names(key, weight_by_domain)
    return tuple(_deal([(name, weight_by_domain[name]) for name in order]))


def _deal(weights: list[tuple[str, int]]) -> Iterator[str]:
    """Yield one cycle of smooth weighted round-robin."""
    total = sum(weight for _, weight in weights)
    credits = [0] * len(weights)
    for _ in range(total):
        credits = [c + weight for c, (_, weight) in zip(credits, weights, strict=True)]
        chosen = credits.index(max(credits))
        credits[chosen] -= total
        yield weights[chosen][0]
