"""The fault proxy: forwards TCP connections between processes and injects faults."""
