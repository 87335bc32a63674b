"""Forms replicas from registered hosts and records which hosts are in which replica."""

from .controller import ReplicaController
from .engine_commands import EngineCommands
from .registry import ReplicaRegistry

__all__ = ["EngineCommands", "ReplicaController", "ReplicaRegistry"]
