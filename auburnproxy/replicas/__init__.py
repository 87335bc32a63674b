"""Replicas of models: groups of hosts that together serve one copy of a model."""

from .assignment import ownership_key
from .downtime import Downtime
from .placement import Placement, Policy, ReplicaTarget
from .planner import Planner
from .readiness import Readiness
from .reconciler import Reconciler
from .repairs import Repairs
from .replica import Replica
from .replicas import Replicas, host_key, replica_key

__all__ = [
    "Downtime",
    "Placement",
    "Planner",
    "Policy",
    "Readiness",
    "Reconciler",
    "Repairs",
    "Replica",
    "ReplicaTarget",
    "Replicas",
    "host_key",
    "ownership_key",
    "replica_key",
]
