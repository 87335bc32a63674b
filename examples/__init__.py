"""Runnable examples that embed parts of the project."""
