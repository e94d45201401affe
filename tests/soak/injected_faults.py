"""Faults injected into one process."""

import msgspec

INJECTED_FAULTS_SUFFIX = ".warp"
REJECTED_WRITE_SUFFIX = ".rejected"


class InjectedFaults(msgspec.Struct, frozen=True):
    """Offset of the wall clock, faults of the disk, and addresses to which sends are dropped.

    `full_disk` is the number of the fault that fills the disk, 0 while it has space.
    """

    wall_offset_ms: int = 0
    full_disk: int = 0
    disk_wait_s: float = 0.0
    mute: tuple[str, ...] = ()
