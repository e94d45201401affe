"""The fleet: which processes live, who reads the list of upstreams, and the founding."""
