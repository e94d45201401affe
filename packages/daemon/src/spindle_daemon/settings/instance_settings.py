"""Settings that every process has."""

import dataclasses
import pathlib


@dataclasses.dataclass(frozen=True)
class InstanceSettings:
    """Who the process is, where it lives and how it logs."""

    name: str
    data_center: str
    role: str
    key_file: pathlib.Path
    data_dir: pathlib.Path | None
    log_level: str
