"""Settings of the command line."""

import dataclasses
import pathlib
import zoneinfo

from spindle_cli.address import Address


@dataclasses.dataclass(frozen=True)
class CliSettings:
    """Control instances, key file, time zone of the day's page and output format."""

    controls: tuple[Address, ...]
    key_file: pathlib.Path | None
    timezone: zoneinfo.ZoneInfo
    as_json: bool
