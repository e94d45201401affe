"""A stored minute summary."""

import msgspec

from spindle_daemon.storage.blob_key import BlobKey


class Blob(msgspec.Struct, frozen=True):
    """A summary as it was stored, with its key."""

    key: BlobKey
    data: bytes
