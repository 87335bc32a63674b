"""State shared through a compacted log of keyed records."""

from ..era import EraTracker
from .call_pacing import CallPacing, PacedStore, PausedError, PauseRange
from .counted import CountedStore
from .follower import EraChangePolicy, Follower
from .peer_sync import HttpPeerClient, PeerClient, PeerSync, ReadProgress, TopicPosition
from .store import (
    BusyError,
    Change,
    ConflictError,
    ExpiredError,
    NewestRecords,
    Page,
    Store,
)

__all__ = [
    "BusyError",
    "CallPacing",
    "Change",
    "ConflictError",
    "CountedStore",
    "EraTracker",
    "EraChangePolicy",
    "ExpiredError",
    "Follower",
    "HttpPeerClient",
    "NewestRecords",
    "PacedStore",
    "Page",
    "PausedError",
    "PauseRange",
    "PeerClient",
    "PeerSync",
    "ReadProgress",
    "Store",
    "TopicPosition",
]
