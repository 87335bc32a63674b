"""State shared through a compacted log of keyed records."""

from ..era import Era
from .counted import CountedStore
from .follower import Follower, Renewal
from .relay import HttpPeers, Peers, Place, Progress, Relay
from .store import Change, ConflictError, ExpiredError, Newest, Page, Store

__all__ = [
    "Change",
    "ConflictError",
    "CountedStore",
    "Era",
    "ExpiredError",
    "Follower",
    "HttpPeers",
    "Newest",
    "Page",
    "Peers",
    "Place",
    "Progress",
    "Relay",
    "Renewal",
    "Store",
]
