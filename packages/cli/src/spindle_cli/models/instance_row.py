"""An instance that a control instance knows."""

import msgspec


class InstanceRow(msgspec.Struct, frozen=True):
    """An instance believed to live or to be leaving."""

    instance: str
    incarnation: int
    data_center: str
    role: str
    admin_host: str
    admin_port: int
    leaving: bool = False
