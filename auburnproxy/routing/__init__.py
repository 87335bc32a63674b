"""The choice of an upstream for a call."""
