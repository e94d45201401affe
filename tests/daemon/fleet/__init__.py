"""Tests of the fleet over fakes."""
