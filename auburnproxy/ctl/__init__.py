"""The operators' tool ``auburnctl``."""
