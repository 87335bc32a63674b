"""Discrete-event simulation of whole fleets, to try policies before a benchmark."""
