"""At-most-once claims kept in the replicated log."""
