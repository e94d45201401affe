"""Helpers shared by components."""
