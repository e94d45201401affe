"""Tests of the fleet components with fakes."""
