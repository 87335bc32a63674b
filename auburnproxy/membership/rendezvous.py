"""Rendezvous hashing: an order of candidates that all processes agree on."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh3_64_intdigest

from .member import Member

RANKS_CACHED = 8192


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names by rank for a key, the first to be chosen first.

    :param key: what is ranked for
    :param names: the candidates
    """
    return sorted(names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()))


@lru_cache(maxsize=RANKS_CACHED)
def rank(key: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return members by rank for a key.

    Names are ranked and not incarnations, so that a restart moves nothing.

    :param key: what is ranked for
    :param members: the candidates
    """
    by_name = {member.name: member for member in members}
    return tuple(by_name[name] for name in rank_names(key, by_name))
