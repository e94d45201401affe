"""Parsing, validation and application of release notes."""
