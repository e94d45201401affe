"""Faults injected into one process."""

import msgspec

INJECTED_FAULTS_SUFFIX = ".warp"


class InjectedFaults(msgspec.Struct, frozen=True):
    """Offset of the wall clock, faults of the disk, and addresses to which sends are dropped."""

    wall_offset_ms: int = 0
    disk_full: bool = False
    disk_wait_s: float = 0.0
    mute: tuple[str, ...] = ()
