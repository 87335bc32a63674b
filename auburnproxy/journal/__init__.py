"""The platform's log folded into state that is the same in every process."""

from .record import Entry, Outcome, Record
from .reducer import Reducer

__all__ = ["Entry", "Outcome", "Record", "Reducer"]
