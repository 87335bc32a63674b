"""The platform's log folded into state that is the same in every process."""

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
