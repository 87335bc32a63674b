"""HTTP front end: dispatch, streaming, retries, forwarding, graceful shutdown."""

from .frontend import Frontend
from .limits import RequestLimits
from .peer_selector import PeerSelector

__all__ = ["Frontend", "PeerSelector", "RequestLimits"]
