"""The id of a snapshot of the records."""

import msgspec

from spindle_decisions.exceptions import BadRequestError


class SnapshotId(msgspec.Struct, frozen=True, order=True):
    """Partition epoch and index version; written `epoch.version`, as in `3.42`."""

    epoch: int
    version: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.version}"


def parse_snapshot_id(text: str) -> SnapshotId:
    """Parse `epoch.version`; raise `BadRequestError` for anything else."""
    epoch, separator, version = text.partition(".")
    if not separator or not epoch.isdecimal() or not version.isdecimal():
        raise BadRequestError(f"snapshot id is {text!r}, expected epoch.version")
    return SnapshotId(int(epoch), int(version))
