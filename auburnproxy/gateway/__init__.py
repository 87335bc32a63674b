"""Forwarding of routed requests from a caller's connection to an upstream and back."""
