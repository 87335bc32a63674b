"""Histograms, group downtime, stranded accelerators and logs."""
