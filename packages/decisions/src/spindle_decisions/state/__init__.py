"""The replicated state: catalog, applied release notes, claims and routing plan."""
