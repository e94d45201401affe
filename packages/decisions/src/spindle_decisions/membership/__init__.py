"""Membership of live and leaving instances."""
