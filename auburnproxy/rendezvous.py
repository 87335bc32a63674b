"""Rendezvous hashing: an order of candidates that all processes agree on."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names by rank for a key, the first to be chosen first.

    :param key: what is ranked for
    :param names: the candidates
    """
    return sorted(names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()))
