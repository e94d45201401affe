"""Typed events ordered by a hybrid logical clock."""
