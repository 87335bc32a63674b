"""Order in which daemons may try what all of them avoid, without asking each other."""

from __future__ import annotations

from collections.abc import Iterable

from .rendezvous import rank_names


def is_turn(
    name: str, key: str, daemons: Iterable[str], *, overdue_s: float, turn_s: float
) -> bool:
    """Return whether a daemon may start a trial, or nobody is known who could.

    One daemon may at first, and twice as many after each turn, since those before may
    have no request for it.

    :param name: the daemon
    :param key: the trial, which decides the order
    :param daemons: the daemons that could start it
    :param overdue_s: seconds since the trial has been due
    :param turn_s: seconds of a turn
    """
    ranked = rank_names(key, daemons)
    turns = min(int(overdue_s / turn_s), len(ranked).bit_length())
    return not ranked or name in ranked[: 1 << turns]
