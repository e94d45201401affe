"""The request that begins a deployment."""

import msgspec

from spindle_decisions.operator.bootstrap_member import BootstrapMember


class BootstrapRequest(msgspec.Struct, frozen=True):
    """The control instances with which a deployment begins."""

    members: tuple[BootstrapMember, ...]
