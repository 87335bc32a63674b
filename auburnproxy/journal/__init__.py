"""State replicated to every process by applying the platform's log in order."""

from ._codec import decode_entries, encode_entries
from .journal import Journal
from .proposer import Proposer
from .record import Entry, Outcome, Record
from .reducer import Reducer

__all__ = [
    "Entry",
    "Journal",
    "Outcome",
    "Proposer",
    "Record",
    "Reducer",
    "decode_entries",
    "encode_entries",
]
