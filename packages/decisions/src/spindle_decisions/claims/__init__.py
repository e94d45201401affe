"""Claims that make requests run at most once, kept in the replicated state."""
