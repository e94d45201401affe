"""Conversion factors between units of time."""

MS_PER_S = 1000
US_PER_MS = 1000
US_PER_S = 1_000_000
