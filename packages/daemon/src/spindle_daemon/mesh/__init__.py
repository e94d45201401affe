"""Signed messages between processes over pynng."""
