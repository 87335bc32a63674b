"""Division of limits and ownership of keys among members: pure functions.

Every slot of a limit has a fixed order of members, and the first one in it that is
not gone holds the slot. Members may differ in whom they know to be gone. A member
takes a slot only if all members before it in that slot's order are gone, so no two
members ever hold the same slot. The slots of a smaller limit are a subset of those
of a larger one, so members that know different limits never use more slots together
than the largest of these limits.
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


def owner(key: str, epoch: Epoch, gone: frozenset[str]) -> Member | None:
    """Return the member that owns a key in one epoch, None if all are gone.

    :param key: the key
    :param epoch: the epoch
    :param gone: ids of members that can never act again
    """
    ranked = rank(key, epoch.members)
    return next((member for member in ranked if member.id not in gone), None)


def owns(key: str, window: EpochWindow, member_id: str) -> bool:
    """Return whether a member owns a key in every epoch of the window.

    :param key: the key
    :param window: the epochs and divisions that the member has to obey
    :param member_id: the member
    """
    owners = [owner(key, epoch, window.gone) for epoch in window.epochs]
    return bool(owners) and all(m is not None and m.id == member_id for m in owners)


def share(limit: int, key: str, window: EpochWindow, member_id: str) -> int:
    """Return how many slots of a limit a member may use.

    That is the smallest of its shares in the epochs of the window. A plan's limit
    is first divided among the failure domains.

    :param limit: slots of the whole limit
    :param key: the limit's key
    :param window: the epochs and divisions that the member has to obey
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
    :param divisions: the divisions that the failure domain has to obey
    :param failure_domain: its name
    """
    counts = (_division_share(limit, key, d, failure_domain) for d in divisions)
    return min(counts, default=0)


def _epoch_share(
    limit: int, key: str, epoch: Epoch, gone: frozenset[str], member_id: str
) -> int:
    ranked = rank(key, epoch.members)
    ids = [member.id for member in ranked]
    if member_id not in ids or member_id in gone:
        return 0
    count = len(ids)
    dealt = _slots_at_position(limit, count, ids.index(member_id))
    gone_positions = [position for position, name in enumerate(ids) if name in gone]
    inherited = sum(
        _inherited_slots(ids, position, member_id, gone, rounds=rounds)
        for position in gone_positions
        if (rounds := _slots_at_position(limit, count, position))
    )
    return dealt + inherited


def _inherited_slots(
    ids: list[str], position: int, member_id: str, gone: frozenset[str], *, rounds: int
) -> int:
    """Return how many slots of a gone member another one inherits.

    The heirs recur with a period of one round for each other member, so the cost does
    not grow with the number of rounds, which an operator's limit determines.

    :param rounds: number of slots that the gone member was dealt
    """
    period = max(len(ids) - 1, 1)
    return sum(
        (rounds - first + period - 1) // period
        for first in range(min(rounds, period))
        if _inheritor(ids, position, first, gone) == member_id
    )


def _slots_at_position(limit: int, count: int, position: int) -> int:
    """Return how many of ``limit`` slots a position gets, dealt round-robin."""
    return (limit - position + count - 1) // count if position < limit else 0


def _inheritor(
    ids: list[str], position: int, round_number: int, gone: frozenset[str]
) -> str:
    """Return who inherits the slot that a gone member was dealt in a round."""
    others = ids[position + 1 :] + ids[:position]
    start = round_number % max(len(others), 1)
    candidates = others[start:] + others[:start]
    return next(name for name in candidates if name not in gone)


def _division_share(limit: int, key: str, division: Division, domain: str) -> int:
    cycle = _slot_cycle(key, division.weights)
    rounds, rest = divmod(limit, len(cycle)) if cycle else (0, 0)
    return rounds * cycle.count(domain) + cycle[:rest].count(domain)


@lru_cache(maxsize=RANK_CACHE_SIZE)
def _slot_cycle(key: str, weights: tuple[DomainWeight, ...]) -> tuple[str, ...]:
    """Return one cycle of the order in which failure domains are dealt slots."""
    weight_by_domain = {w.failure_domain: w.weight for w in weights if w.weight}
    ranked = rank_names(key, weight_by_domain)
    return tuple(
        _weighted_round_robin([(name, weight_by_domain[name]) for name in ranked])
    )


def _weighted_round_robin(weights: list[tuple[str, int]]) -> Iterator[str]:
    """Yield one cycle of smooth weighted round-robin."""
    total = sum(weight for _, weight in weights)
    credits = [0] * len(weights)
    for _ in range(total):
        credits = [c + weight for c, (_, weight) in zip(credits, weights, strict=True)]
        chosen = credits.index(max(credits))
        credits[chosen] -= total
        yield weights[chosen][0]
