"""Limits divided ahead of time between daemons."""
