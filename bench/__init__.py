"""Launching of deployments and experiments; never imported by the shipped packages."""
