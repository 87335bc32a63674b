"""Forms replicas from registered hosts and keeps the record of who is in which."""

from .conductor import Conductor
from .engine_commands import EngineCommands
from .registry import ReplicaRegistry

__all__ = ["Conductor", "EngineCommands", "ReplicaRegistry"]
