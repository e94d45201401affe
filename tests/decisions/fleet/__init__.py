"""Tests of the fleet decisions."""
