"""Settings of one process, read from INI and checked against a schema."""
