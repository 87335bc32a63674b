"""A serving system for models that span several hosts."""

__version__ = "0.1.0"
