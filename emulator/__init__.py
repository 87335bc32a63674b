"""Whole fleets on virtual time, to try policies on before a bench does."""
