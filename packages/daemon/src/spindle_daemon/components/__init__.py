"""Components of the daemon, one folder each."""
