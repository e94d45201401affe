"""Fault soak: runs a fleet of real processes under random faults and checks its promises."""
