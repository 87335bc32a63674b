"""Heartbeats that daemons send each other."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from xxhash import xxh32_intdigest

MAX_SLOTS = 0xFFFF


class Summary(NamedTuple):
    """State of one failure domain; both numbers only ever grow."""

    failure_domain: str
    settled: int
    """Newest epoch known to be obeyed by all of its members."""
    version: int
    """Newest configuration version known to be in force at one of its daemons."""


class Heartbeat(NamedTuple):
    """State of one daemon, as reported by itself."""

    epoch: int
    """Newest epoch of its failure domain in its roster."""
    acked: int
    """Newest epoch that it obeys; no older one entitles it to more from then on."""
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
    """Free slots by key digest, for a selection of keys."""
    summaries: tuple[Summary, ...] = ()
    """A selection of the summaries of other failure domains."""
    busy: Mapping[int, int] = {}
    """Slots in use by key digest, sent while a peer requests them."""
    counting: bool = False
    """Whether the sender requests the slots that its peers use."""


def key_digest(key: str) -> int:
    """Return the 32-bit digest that stands for a quota's key in heartbeats.

    :param key: the key
    """
    return xxh32_intdigest(key.encode())


def select_slots(
    slots_by_key: Mapping[str, int], sender_id: str, *, max_keys: int
) -> dict[int, int]:
    """Select the keys to advertise, different ones at different daemons.

    :param slots_by_key: slots by key
    :param sender_id: id of the member that advertises
    :param max_keys: how many keys fit into a heartbeat
    """
    order = sorted(slots_by_key, key=lambda key: key_digest(f"{sender_id}\0{key}"))
    return {key_digest(k): min(slots_by_key[k], MAX_SLOTS) for k in order[:max_keys]}
