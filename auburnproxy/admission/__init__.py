"""Who may call, and which call is dispatched next."""

from .admission import Admission
from .queue import Placement

__all__ = ["Admission", "Placement"]
