"""The replicated state: catalog, applied release notes, claims and plan of routes."""
