"""The request that bootstraps a deployment."""

import msgspec

from spindle_decisions.operator.bootstrap_member import BootstrapMember


class BootstrapRequest(msgspec.Struct, frozen=True):
    """The control instances that form the first membership of a deployment."""

    members: tuple[BootstrapMember, ...]
