"""Slopes from which the size to design for is worked out."""
