"""Admission control: authentication, queueing and dispatch of calls."""

from .admission import Admission
from .queue import UpstreamSlot

__all__ = ["Admission", "UpstreamSlot"]
