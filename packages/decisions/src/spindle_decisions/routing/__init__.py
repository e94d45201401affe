"""Routed requests: the plan that operators give, upstreams, gathers and repeats."""
