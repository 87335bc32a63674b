"""Randomized soak test of real daemons on loopback, with injected faults."""
