"""Benchmarks: each module measures one slope or comparison and prints a table."""
