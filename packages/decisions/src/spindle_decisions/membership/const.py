"""Timing of the membership."""

SUSPECT_AFTER_S = 3.0
FORGET_AFTER_S = 30.0
