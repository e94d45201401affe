"""Tests of the scripts that a developer runs."""
