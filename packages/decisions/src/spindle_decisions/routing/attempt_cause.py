"""Causes of an attempt at an upstream."""

FIRST = "first"
HEDGE = "hedge"
RETRY = "retry"
