"""A fleet of real processes on loopback addresses."""
