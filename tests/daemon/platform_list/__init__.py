"""Tests of the platform's list."""
