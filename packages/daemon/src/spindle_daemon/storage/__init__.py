"""The data folder: the log, snapshots and minute summaries on disk."""
