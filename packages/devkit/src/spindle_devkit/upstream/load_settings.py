"""Reads the settings file of a stand-in process."""

import configparser
import pathlib
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from spindle_decisions.exceptions import BadRequestError, SettingsError
from spindle_decisions.serving.snapshot_id import parse_snapshot_id
from spindle_devkit.endpoint import Endpoint, parse_endpoint
from spindle_devkit.upstream import const
from spindle_devkit.upstream.standin_settings import StandinSettings
from spindle_devkit.upstream.upstream_settings import UpstreamSettings

_COUNT = vol.All(vol.Coerce(int), vol.Range(min=0))
_AMOUNT = vol.All(vol.Coerce(float), vol.Range(min=0))
_RATIO = vol.All(vol.Coerce(float), vol.Range(min=0, max=1))


def _snapshots(text: str) -> tuple[str, ...]:
    try:
        return tuple(str(parse_snapshot_id(word)) for word in text.split())
    except BadRequestError as err:
        raise vol.Invalid(str(err)) from err


_UPSTREAM = vol.Schema(
    {
        vol.Required(const.CONF_SERVICE): vol.All(str, vol.Length(min=1)),
        vol.Required(const.CONF_LISTEN): parse_endpoint,
        vol.Optional(const.CONF_SLOTS, default=const.DEFAULT_SLOTS): _COUNT,
        vol.Optional(const.CONF_CONNECTIONS, default=const.DEFAULT_CONNECTIONS): _COUNT,
        vol.Optional(const.CONF_QUEUE, default=const.DEFAULT_QUEUE): _COUNT,
        vol.Optional(const.CONF_CONNECT_MS, default=const.DEFAULT_CONNECT_MS): _AMOUNT,
        vol.Optional(const.CONF_MEDIAN_MS, default=const.DEFAULT_MEDIAN_MS): _AMOUNT,
        vol.Optional(const.CONF_SIGMA, default=const.DEFAULT_SIGMA): _AMOUNT,
        vol.Optional(const.CONF_STRAGGLER_RATIO, default=const.DEFAULT_STRAGGLER_RATIO): _RATIO,
        vol.Optional(const.CONF_STRAGGLER_FACTOR, default=const.DEFAULT_STRAGGLER_FACTOR): _AMOUNT,
        vol.Optional(const.CONF_COLD_START_S, default=const.DEFAULT_COLD_START_S): _AMOUNT,
        vol.Optional(const.CONF_COLD_FACTOR, default=const.DEFAULT_COLD_FACTOR): _AMOUNT,
        vol.Optional(const.CONF_SNAPSHOTS, default=const.DEFAULT_SNAPSHOTS): _snapshots,
        vol.Optional(const.CONF_ROWS, default=const.DEFAULT_ROWS): _COUNT,
        vol.Optional(const.CONF_SEED, default=const.DEFAULT_SEED): vol.Coerce(int),
    }
)

_STANDIN = vol.Schema(
    {vol.Required(const.CONF_LISTEN): parse_endpoint},
    extra=vol.REMOVE_EXTRA,
)


def load_settings(path: pathlib.Path) -> StandinSettings:
    """Read the settings; raise `SettingsError` that names the invalid section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error) as err:
        raise SettingsError(f"{path}: {err}") from err
    names = [name for name in parser.sections() if name.startswith(const.SECTION_UPSTREAM_PREFIX)]
    if not names:
        raise SettingsError(f"{path}: no section [{const.SECTION_UPSTREAM_PREFIX}NAME]")
    return StandinSettings(_control(parser), tuple(_upstream(name, parser[name]) for name in names))


def _control(parser: configparser.ConfigParser) -> Endpoint | None:
    if not parser.has_section(const.SECTION_STANDIN):
        return None
    values = _check(_STANDIN, const.SECTION_STANDIN, parser[const.SECTION_STANDIN])
    control: Endpoint = values[const.CONF_LISTEN]
    return control


def _upstream(section: str, raw: Mapping[str, str]) -> UpstreamSettings:
    values = _check(_UPSTREAM, section, raw)
    fields = {key.replace("-", "_"): value for key, value in values.items()}
    name = section.removeprefix(const.SECTION_UPSTREAM_PREFIX).strip()
    return UpstreamSettings(name=name, **fields)


def _check(schema: vol.Schema, section: str, raw: Mapping[str, str]) -> dict[str, Any]:
    try:
        values: dict[str, Any] = schema(dict(raw))
    except vol.Invalid as err:
        raise SettingsError(f"[{section}] {err}") from err
    return values
