"""HTTP front end: dispatch, streaming, retries, forwarding, graceful shutdown."""

from .frontend import Frontend
from .limits import Limits
from .peer_selector import PeerSelector

__all__ = ["Frontend", "Limits", "PeerSelector"]
