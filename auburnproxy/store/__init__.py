"""State shared through a compacted log of keyed records."""

from ..era import EraTracker
from .counted import CountedStore
from .follower import EraChangePolicy, Follower
from .peer_sync import HttpPeerClient, PeerClient, PeerSync, ReadProgress, TopicPosition
from .store import Change, ConflictError, ExpiredError, NewestRecords, Page, Store

__all__ = [
    "Change",
    "ConflictError",
    "CountedStore",
    "EraTracker",
    "EraChangePolicy",
    "ExpiredError",
    "Follower",
    "HttpPeerClient",
    "NewestRecords",
    "Page",
    "PeerClient",
    "PeerSync",
    "ReadProgress",
    "Store",
    "TopicPosition",
]
