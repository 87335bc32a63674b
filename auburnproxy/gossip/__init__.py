"""Facts that daemons tell each other: soft state with an age, an end and no store."""

from .fact import Fact, FactKind
from .fact_table import FactTable, HeldFact

__all__ = ["Fact", "FactKind", "FactTable", "HeldFact"]
