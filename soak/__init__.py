"""Soak test: runs real host processes under injected faults and checks the system's guarantees."""
