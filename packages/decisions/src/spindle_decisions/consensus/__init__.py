"""Agreement between control instances."""
