"""The fleet: live processes, readers of the list of upstreams, and the bootstrap."""
