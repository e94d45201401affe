"""Settings of the command line."""

import dataclasses
import pathlib
import zoneinfo

from spindle_cli.address import Address


@dataclasses.dataclass(frozen=True)
class CliSettings:
    """Whom to ask, the key to sign with, and the time zone of the day's page."""

    controls: tuple[Address, ...]
    key_file: pathlib.Path | None
    timezone: zoneinfo.ZoneInfo
    as_json: bool
