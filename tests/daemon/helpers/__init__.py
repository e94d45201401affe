"""Tests of helpers shared by components."""
