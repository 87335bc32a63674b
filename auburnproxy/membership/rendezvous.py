"""Rendezvous hashing of members."""

from __future__ import annotations

from functools import lru_cache

from ..rendezvous import rank_names
from .member import Member

RANK_CACHE_SIZE = 8192


@lru_cache(maxsize=RANK_CACHE_SIZE)
def rank(key: str, members: tuple[Member, ...]) -> tuple[Member, ...]:
    """Return members in rendezvous order for a key.

    Names are ranked and not incarnations, so that a restart moves nothing.

    :param key: the key to rank for
    :param members: the candidates
    """
    by_name = {member.name: member for member in members}
    return tuple(by_name[name] for name in rank_names(key, by_name))
