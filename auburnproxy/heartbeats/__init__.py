"""Heartbeats that daemons exchange over UDP several times a second."""

from .daemon_record import DaemonRecord
from .heartbeat import Heartbeat
from .peer_group import PeerGroup

__all__ = ["DaemonRecord", "Heartbeat", "PeerGroup"]
