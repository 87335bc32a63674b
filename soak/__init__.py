"""A randomized soak of real daemons on loopback, with faults from outside."""
