"""Program of an instance with faults injected into its clock, disk and links.

A file beside the settings holds the current faults. Only calls within this code base are
wrapped: the clock, the file access, the probe of the disk, and sends to other instances.
"""

import errno
import os
import pathlib
import sys
import time

import msgspec

import start
from spindle_daemon.core.clock import SystemClock
from spindle_daemon.mesh.transport import MeshTransport
from spindle_daemon.storage import patient_open
from spindle_daemon.storage.os_file_access import OsFileAccess
from tests.soak.injected_faults import (
    INJECTED_FAULTS_SUFFIX,
    REJECTED_WRITE_SUFFIX,
    InjectedFaults,
)
from tests.soak.rejected_write import RejectedWrite

READ_INTERVAL_S = 0.05


class InjectionFile:
    """Reads the injected faults of a process and rereads their file when it changes."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.read_at = 0.0
        self.changed_ns = 0
        self.faults = InjectedFaults()

    def current(self) -> InjectedFaults:
        """Return the current faults; checks their file at most every `READ_INTERVAL_S`."""
        if time.monotonic() - self.read_at < READ_INTERVAL_S:
            return self.faults
        self.read_at = time.monotonic()
        changed_ns = self.path.stat().st_mtime_ns if self.path.exists() else 0
        if changed_ns != self.changed_ns:
            self.changed_ns = changed_ns
            self.faults = msgspec.json.decode(self.path.read_bytes(), type=InjectedFaults)
        return self.faults

    def apply_disk_faults(self) -> None:
        """Wait while the disk is slow; raises `OSError` while it is full."""
        if self.current().full_disk:
            raise OSError(errno.ENOSPC, "No space left on device")
        if self.faults.disk_wait_s:
            time.sleep(self.faults.disk_wait_s)

    def apply_write_faults(self) -> None:
        """Apply the faults of the disk to a write; a rejected write is recorded in a file.

        A rejected write ends the process. The record tells the soak which fault ended it,
        however long after the end of the fault the exit is seen.
        """
        try:
            self.apply_disk_faults()
        except OSError:
            rejected = RejectedWrite(os.getpid(), self.faults.full_disk)
            self.path.with_suffix(REJECTED_WRITE_SUFFIX).write_bytes(msgspec.json.encode(rejected))
            raise


def install(file: InjectionFile) -> None:
    """Wrap the calls into which faults are injected."""
    wall_ms, write, sync = SystemClock.wall_ms, OsFileAccess.write, OsFileAccess.sync
    send, probe = MeshTransport.send, patient_open.probe_writable

    def faulty_wall_ms(clock: SystemClock) -> int:
        return wall_ms(clock) + file.current().wall_offset_ms

    def faulty_write(access: OsFileAccess, fd: int, data: bytes, offset: int) -> None:
        file.apply_write_faults()
        write(access, fd, data, offset)

    def faulty_sync(access: OsFileAccess, fd: int) -> None:
        file.apply_write_faults()
        sync(access, fd)

    def faulty_probe(path: pathlib.Path) -> None:
        file.apply_disk_faults()
        probe(path)

    def faulty_send(transport: MeshTransport, address: str, message: object) -> bool:
        if any(muted in address for muted in file.current().mute):
            return True
        return send(transport, address, message)  # type: ignore[arg-type]

    SystemClock.wall_ms = faulty_wall_ms  # type: ignore[method-assign]
    OsFileAccess.write = faulty_write  # type: ignore[method-assign]
    OsFileAccess.sync = faulty_sync  # type: ignore[method-assign]
    patient_open.probe_writable = faulty_probe
    MeshTransport.send = faulty_send  # type: ignore[assignment,method-assign]


if __name__ == "__main__":
    settings = pathlib.Path(os.environ[start.SETTINGS_VARIABLE])
    install(InjectionFile(settings.with_suffix(INJECTED_FAULTS_SUFFIX)))
    sys.exit(start.main())
