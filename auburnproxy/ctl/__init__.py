"""The operators' tool ``auburnctl``."""

from .main import main

__all__ = ["main"]
