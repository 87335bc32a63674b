"""Forms replicas from registered hosts and keeps the record of who is in which."""

from .controller import ReplicaController
from .engine_commands import EngineCommands
from .registry import ReplicaRegistry

__all__ = ["EngineCommands", "ReplicaController", "ReplicaRegistry"]
