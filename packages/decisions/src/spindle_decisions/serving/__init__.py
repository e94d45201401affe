"""Decisions on the path of one request."""
