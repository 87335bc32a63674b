"""At most one run of calls that may not be repeated."""
