"""Experiments on the serving path, with real processes."""
