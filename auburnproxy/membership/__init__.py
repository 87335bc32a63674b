"""The daemons of a failure domain and what they divide among themselves."""

from .member import Member

__all__ = ["Member"]
