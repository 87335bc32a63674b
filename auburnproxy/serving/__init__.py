"""HTTP front end: dispatch, streaming, retries, forwarding, graceful shutdown."""

from .face import Face
from .limits import Limits
from .spill import Spill

__all__ = ["Face", "Limits", "Spill"]
