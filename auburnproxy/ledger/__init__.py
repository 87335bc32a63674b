"""At-most-once execution of non-repeatable calls by idempotency key."""

from .ledger import Ledger
from .runner import AtMostOnceRunner

__all__ = ["AtMostOnceRunner", "Ledger"]
