"""The limits of the store of minute summaries."""

import msgspec

from spindle_daemon.storage.const import MAX_BLOB_BYTES, MAX_BLOB_DAYS, MAX_BLOBS_BYTES


class BlobLimits(msgspec.Struct, frozen=True):
    """The maximum number of days and bytes in the store, and of bytes in one summary."""

    max_days: int = MAX_BLOB_DAYS
    max_bytes: int = MAX_BLOBS_BYTES
    max_blob_bytes: int = MAX_BLOB_BYTES
