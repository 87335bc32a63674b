"""Rendezvous hashing: ranks candidates in the same order in every process."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order for a key, the preferred one first.

    :param key: the key to rank for
    :param names: the candidates
    """
    return sorted(names, key=lambda name: xxh3_64_intdigest(f"{key}\0{name}".encode()))
