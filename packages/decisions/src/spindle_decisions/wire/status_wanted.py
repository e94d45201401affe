"""The request for the full status of a control instance."""

import msgspec


class StatusWanted(msgspec.Struct, frozen=True, tag="status-wanted"):
    """The control instance `control` has incomplete records and requests the full status."""

    control: str
