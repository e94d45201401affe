"""Experiments: each runs its arms one after the other and compares the figures with targets."""
