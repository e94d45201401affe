"""Experiments on agreement, storage and the spread of configuration, with real processes."""
