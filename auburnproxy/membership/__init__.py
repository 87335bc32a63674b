"""Group membership of the daemons of a failure domain."""

from .epoch import Division, DomainWeight, Epoch, EpochWindow
from .heartbeat import Heartbeat, Summary
from .member import Member
from .membership import Membership
from .reports import Reports
from .roster import Roster
from .view import MembershipView

__all__ = [
    "Division",
    "DomainWeight",
    "Epoch",
    "EpochWindow",
    "Heartbeat",
    "Member",
    "Membership",
    "MembershipView",
    "Reports",
    "Roster",
    "Summary",
]
