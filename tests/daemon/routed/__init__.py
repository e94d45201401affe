"""Tests of routed requests over sockets."""
