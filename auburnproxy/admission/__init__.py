"""Admission control: authentication, queueing and dispatch of calls."""

from .admission import Admission
from .queue import Placement

__all__ = ["Admission", "Placement"]
