"""The fault proxy: forwards TCP links between processes and breaks them when told to."""
