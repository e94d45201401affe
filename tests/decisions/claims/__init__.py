"""Tests of at-most-once claims."""
