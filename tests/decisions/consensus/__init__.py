"""Tests of the agreement."""
