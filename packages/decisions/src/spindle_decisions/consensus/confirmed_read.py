"""A confirmed linearizable read."""

import msgspec


class ConfirmedRead(msgspec.Struct, frozen=True):
    """Read `read_id` may be served once the entry at `index` has been applied."""

    read_id: int
    index: int
