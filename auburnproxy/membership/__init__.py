"""Group membership of the daemons of a failure domain."""

from .beat import Beat, Summary
from .epoch import Division, Epoch, Weight, Window
from .member import Member
from .membership import Membership
from .reports import Reports
from .roster import Roster
from .view import View

__all__ = [
    "Beat",
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
