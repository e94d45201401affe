"""The fault soak: a fleet of real processes under drawn faults, its promises checked throughout."""
