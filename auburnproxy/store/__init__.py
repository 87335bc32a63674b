"""Shared state in a log of keyed records whose newest values are kept."""

from .counted import CountedStore
from .follower import Follower
from .relay import HttpPeers, Peers, Relay
from .store import Change, ConflictError, ExpiredError, Newest, Page, Store

__all__ = [
    "Change",
    "ConflictError",
    "CountedStore",
    "ExpiredError",
    "Follower",
    "HttpPeers",
    "Newest",
    "Page",
    "Peers",
    "Relay",
    "Store",
]
