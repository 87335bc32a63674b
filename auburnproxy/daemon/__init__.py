"""The daemon ``auburnproxyd``."""
