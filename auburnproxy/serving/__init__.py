"""HTTP front end: dispatch, streaming, retries, forwarding, graceful shutdown."""

from .face import Face
from .limits import Limits
from .peer_selector import PeerSelector

__all__ = ["Face", "Limits", "PeerSelector"]
