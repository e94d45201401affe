"""What misbehaves in one process."""

import msgspec

INJECTED_FAULTS_SUFFIX = ".warp"


class InjectedFaults(msgspec.Struct, frozen=True):
    """The wall clock's error, the state of the disk, and addresses that nothing reaches."""

    wall_offset_ms: int = 0
    disk_full: bool = False
    disk_wait_s: float = 0.0
    mute: tuple[str, ...] = ()
