"""Which frames between processes arrive."""
