"""Settings that every process has."""

import dataclasses
import pathlib


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Identity, role, files and log level of the process."""

    name: str
    data_center: str
    role: str
    key_file: pathlib.Path
    data_dir: pathlib.Path | None
    log_level: str
