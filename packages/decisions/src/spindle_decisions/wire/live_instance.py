"""An instance as the membership sees it."""

import msgspec


class LiveInstance(msgspec.Struct, frozen=True, order=True):
    """An instance believed to live or to be leaving, with the addresses it gave."""

    instance: str
    incarnation: int
    data_center: str
    role: str
    mesh_address: str
    admin_host: str
    admin_port: int
    leaving: bool
