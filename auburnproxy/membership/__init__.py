"""Group membership of the daemons of a failure domain."""

from .epoch import Division, Epoch, Weight, Window
from .heartbeat import Heartbeat, Summary
from .member import Member
from .membership import Membership
from .reports import Reports
from .roster import Roster
from .view import View

__all__ = [
    "Heartbeat",
    "Division",
    "Epoch",
    "Member",
    "Membership",
    "Reports",
    "Roster",
    "Summary",
    "View",
    "Weight",
    "Window",
]
