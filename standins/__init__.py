"""Simulated platform and upstreams, for tests, demo and benchmarks."""
