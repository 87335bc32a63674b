"""Upstreams: model engines and plain services."""
