"""Entry point, settings and components of the daemon ``auburnproxyd``."""
