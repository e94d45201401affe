"""The data centre model."""

import msgspec


class DataCenter(msgspec.Struct, frozen=True):
    """A data centre in which instances and upstreams live."""

    name: str
    region: str = ""
