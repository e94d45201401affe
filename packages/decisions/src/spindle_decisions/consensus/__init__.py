"""Raft consensus between control instances."""
