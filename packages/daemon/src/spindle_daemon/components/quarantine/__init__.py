"""Quarantine of requests that crash upstreams, shared by all instances of the fleet."""
