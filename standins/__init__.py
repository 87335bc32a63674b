"""Stand-ins of the platform and its upstreams, for tests, demo and benchmarks."""
