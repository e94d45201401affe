"""The request for the whole status of a control instance."""

import msgspec


class StatusWanted(msgspec.Struct, frozen=True, tag="status-wanted"):
    """The control instance `control` lost track and asks for everything."""

    control: str
