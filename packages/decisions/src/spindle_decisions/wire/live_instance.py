"""An instance that a control instance regards as live."""

import msgspec


class LiveInstance(msgspec.Struct, frozen=True, order=True):
    """An instance that is regarded as live or leaving, with the addresses it announced."""

    instance: str
    incarnation: int
    data_center: str
    role: str
    mesh_address: str
    admin_host: str
    admin_port: int
    leaving: bool
