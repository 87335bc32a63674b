"""The daemon ``auburnproxyd``."""

from .main import main

__all__ = ["main"]
