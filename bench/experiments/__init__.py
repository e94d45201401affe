"""Experiments: each runs its arms in turn and compares their figures with targets."""
