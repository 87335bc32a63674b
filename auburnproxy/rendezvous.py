"""Rendezvous hashing: ranks candidates in the same order in every process."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import inf, log

from xxhash import xxh3_64_intdigest

HASH_BITS = 52
"""Bits of a hash that a fraction below 1 holds exactly."""


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order for a key, the preferred one first.

    :param key: the key to rank for
    :param names: the candidates
    """
    return sorted(names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()))


def select_weighted(key: str, weight_by_name: Mapping[str, float]) -> str | None:
    """Return a name by weighted rendezvous hashing, None if no weight is positive.

    Over many keys each name gets the share that its weight is of their sum. If a weight
    changes, only keys that move to or from its name change.

    :param key: the key to select for
    :param weight_by_name: the candidates; weights of zero and below exclude theirs
    """
    selected, lowest = None, inf
    for name, weight in weight_by_name.items():
        if weight > 0:
            # Of exponential variables with these rates, the smallest is selected. Their
            # logarithms are compared, since the quotient could overflow.
            variable = log(-log(_fraction(key, name))) - log(weight)
            if variable < lowest:
                selected, lowest = name, variable
    return selected


def _fraction(key: str, name: str) -> float:
    """Return a hash between 0 and 1, without either."""
    digest = xxh3_64_intdigest(f"{key}\0{name}".encode()) >> (64 - HASH_BITS)
    return (digest + 0.5) / (1 << HASH_BITS)
