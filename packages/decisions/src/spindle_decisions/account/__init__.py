"""Per-minute request counts of entry instances, and the day's page built from them."""
