"""The replicated state: the catalog, the notes that led to it, and the claims."""
