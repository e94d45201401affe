"""Answers of the admin endpoints."""
