"""Deployments, experiments and benchmarks; never imported by the shipped packages."""
