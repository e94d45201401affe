"""The request that begins a deployment."""

import msgspec

from spindle_decisions.operator.founding_member import FoundingMember


class Founding(msgspec.Struct, frozen=True):
    """The control instances with which a deployment begins."""

    members: tuple[FoundingMember, ...]
