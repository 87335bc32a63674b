"""Replicas of models: groups of hosts that together serve one copy of a model."""

from .assignment import custody_key
from .custodian import Custodian
from .downtime import Downtime
from .placement import Placement, Policy, ReplicaTarget
from .planner import Planner
from .readiness import Readiness
from .repairs import Repairs
from .replica import Replica
from .replicas import Replicas, host_key, replica_key

__all__ = [
    "Custodian",
    "Downtime",
    "Placement",
    "Planner",
    "Policy",
    "Readiness",
    "Repairs",
    "Replica",
    "Replicas",
    "ReplicaTarget",
    "custody_key",
    "host_key",
    "replica_key",
]
