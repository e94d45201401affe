"""Tests of the fleet as pure decisions."""
