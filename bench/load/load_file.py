"""Reads the settings file of the load generator."""

import configparser
import pathlib
from typing import Any

import voluptuous as vol

from bench.load import const
from bench.load.load_settings import LoadSettings
from spindle_decisions.exceptions import SettingsError
from spindle_devkit.endpoint import Endpoint, parse_endpoint

_AMOUNT = vol.All(vol.Coerce(float), vol.Range(min=0, min_included=False))


def _endpoints(text: str) -> tuple[Endpoint, ...]:
    return tuple(parse_endpoint(word) for word in text.split())


_LOAD = vol.Schema(
    {
        vol.Required(const.CONF_GROUP): str,
        vol.Required(const.CONF_ENTRIES): vol.All(_endpoints, vol.Length(min=1)),
        vol.Required(const.CONF_RATE_PER_S): _AMOUNT,
        vol.Required(const.CONF_DURATION_S): _AMOUNT,
        vol.Optional(const.CONF_SEED, default=const.DEFAULT_SEED): vol.Coerce(int),
        vol.Optional(const.CONF_DEADLINE_MS, default=const.DEFAULT_DEADLINE_MS): vol.Coerce(int),
        vol.Optional(const.CONF_MIN_COVERAGE, default=const.DEFAULT_MIN_COVERAGE): vol.All(
            vol.Coerce(float), vol.Range(min=0, max=1)
        ),
        vol.Optional(const.CONF_LATE_MS, default=const.DEFAULT_LATE_MS): _AMOUNT,
    }
)


def load_file(path: pathlib.Path) -> LoadSettings:
    """Read the section `[load]`; raise `SettingsError` that names the invalid key."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
        values: dict[str, Any] = _LOAD(dict(parser[const.SECTION_LOAD]))
    except (OSError, KeyError, configparser.Error, vol.Invalid) as err:
        raise SettingsError(f"{path}: [{const.SECTION_LOAD}] {err}") from err
    return LoadSettings(**{key.replace("-", "_"): value for key, value in values.items()})
