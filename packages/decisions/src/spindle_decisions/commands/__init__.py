"""Commands of the replicated log and the results of applying them."""
