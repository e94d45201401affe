"""Minute summaries and the page of a day."""
