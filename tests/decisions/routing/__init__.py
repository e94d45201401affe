"""Tests of routed requests as pure decisions."""
