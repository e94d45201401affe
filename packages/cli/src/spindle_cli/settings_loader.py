"""Reading of the command line's settings from options, environment and file."""

import configparser
import pathlib
import zoneinfo
from typing import Any

import voluptuous as vol

from spindle_cli import const
from spindle_cli.address import Address, parse_addresses
from spindle_cli.settings import CliSettings
from spindle_decisions.exceptions import SettingsError

FILE_SCHEMA = vol.Schema(
    {
        vol.Optional(const.CONF_CONTROLS): str,
        vol.Optional(const.CONF_KEY_FILE): str,
        vol.Optional(const.CONF_TIMEZONE): str,
    }
)


def load_cli_settings(
    controls: list[str], key_file: pathlib.Path | None, config: pathlib.Path | None, as_json: bool
) -> CliSettings:
    """Merge options and file; an option takes precedence over the file.

    Raises a `SettingsError` that names the invalid section and key.
    """
    values = _read_file(config) if config is not None else {}
    controls_setting = " ".join(controls) or values.get(const.CONF_CONTROLS, "")
    key_file_setting = values.get(const.CONF_KEY_FILE)
    return CliSettings(
        controls=_unique(parse_addresses(controls_setting)),
        key_file=key_file or (pathlib.Path(key_file_setting) if key_file_setting else None),
        timezone=parse_timezone(values.get(const.CONF_TIMEZONE, const.DEFAULT_TIMEZONE)),
        as_json=as_json,
    )


def parse_timezone(name: str) -> zoneinfo.ZoneInfo:
    """Return a time zone by its name, as in `Europe/Paris`."""
    try:
        return zoneinfo.ZoneInfo(name)
    except (zoneinfo.ZoneInfoNotFoundError, ValueError, OSError):
        raise SettingsError(
            f"[{const.SECTION_SPINDLECTL}] {const.CONF_TIMEZONE} = {name!r}: "
            "allowed: a name such as Europe/Paris or Asia/Ho_Chi_Minh"
        ) from None


def _read_file(path: pathlib.Path) -> dict[str, Any]:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as err:
        raise SettingsError(f"cannot read {path}: {err}") from err
    if not parser.has_section(const.SECTION_SPINDLECTL):
        raise SettingsError(f"{path} has no section [{const.SECTION_SPINDLECTL}]")
    try:
        checked: dict[str, Any] = FILE_SCHEMA(dict(parser[const.SECTION_SPINDLECTL]))
    except vol.MultipleInvalid as err:
        key = err.errors[0].path[0]
        allowed = ", ".join(str(name) for name in FILE_SCHEMA.schema)
        raise SettingsError(
            f"[{const.SECTION_SPINDLECTL}] {key}: unknown key; allowed: {allowed}"
        ) from err
    return checked


def _unique(addresses: tuple[Address, ...]) -> tuple[Address, ...]:
    return tuple(dict.fromkeys(addresses))
