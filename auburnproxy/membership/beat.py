"""What daemons tell each other at every beat."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from xxhash import xxh32_intdigest

MAX_SLOTS_TOLD = 0xFFFF


class Summary(NamedTuple):
    """What is known of one failure domain; both numbers only ever grow."""

    failure_domain: str
    settled: int
    """Newest epoch that all of its members obey, as far as is known."""
    version: int
    """Newest configuration version that one of its daemons had in force."""


class Beat(NamedTuple):
    """One daemon's state, as it says itself."""

    epoch: int
    """Newest epoch of its roster."""
    acked: int
    """Newest epoch that it obeys; it never exceeds an older one again."""
    settled: int
    """Newest epoch that it knows to be settled."""
    offset: int
    """Last journal offset that it folded."""
    version: int
    """Configuration version that it has in force."""
    needs_relay: bool = False
    """Whether it cannot read the log itself."""
    gone: tuple[str, ...] = ()
    """Ids of members that it knows to be gone, from any source."""
    free: Mapping[int, int] = {}
    """Free slots by digest of the key, a selection."""
    summaries: tuple[Summary, ...] = ()
    """Of other failure domains, a selection."""
    busy: Mapping[int, int] = {}
    """Slots in use by digest of the key, told while a peer counts them."""
    counting: bool = False
    """Whether the sender has to know the slots that its peers use."""


def key_digest(key: str) -> int:
    """Return the 32-bit digest that stands for a quota's key in beats.

    :param key: the key
    """
    return xxh32_intdigest(key.encode())


def choose_slots(
    slots_by_key: Mapping[str, int], me: str, *, most: int
) -> dict[int, int]:
    """Choose the keys to tell of, so that different daemons tell of different ones.

    :param slots_by_key: slots by key
    :param me: id of the teller
    :param most: how many keys fit into a beat
    """
    order = sorted(slots_by_key, key=lambda key: key_digest(f"{me}\0{key}"))
    return {key_digest(k): min(slots_by_key[k], MAX_SLOTS_TOLD) for k in order[:most]}
