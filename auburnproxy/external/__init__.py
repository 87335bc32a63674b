"""Interfaces of the platform's services, one abstract base class per service."""

from .hosts import HostEntry, HostKind, HostList, Presence
from .log import LogPage, LogRecord, LogService
from .weights import ModelSpec, WeightStore

__all__ = [
    "HostEntry",
    "HostKind",
    "HostList",
    "LogPage",
    "LogRecord",
    "LogService",
    "ModelSpec",
    "Presence",
    "WeightStore",
]
