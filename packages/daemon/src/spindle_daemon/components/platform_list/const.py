"""Read interval and size limit of the platform's list."""

READ_INTERVAL_S = 1.0
MAX_LIST_BYTES = 4 * 1024 * 1024
