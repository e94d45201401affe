"""Experiments on consensus, storage and the propagation of configuration."""
