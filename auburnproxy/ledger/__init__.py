"""At most one run of calls that may not be repeated."""

from .ledger import Ledger
from .runner import LedgerRunner

__all__ = ["Ledger", "LedgerRunner"]
