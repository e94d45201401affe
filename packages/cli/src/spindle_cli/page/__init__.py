"""Rendering of the day's page."""
