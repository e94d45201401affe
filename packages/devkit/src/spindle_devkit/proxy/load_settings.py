"""Reads the settings file of a fault proxy."""

import configparser
import pathlib
from collections.abc import Mapping
from typing import Any

import voluptuous as vol

from spindle_decisions.exceptions import SettingsError
from spindle_devkit.endpoint import parse_endpoint
from spindle_devkit.proxy import const
from spindle_devkit.proxy.link_settings import LinkSettings
from spindle_devkit.proxy.proxy_settings import ProxySettings

_PROXY = vol.Schema({vol.Required(const.CONF_LISTEN): parse_endpoint})

_LINK = vol.Schema(
    {
        vol.Required(const.CONF_LISTEN): parse_endpoint,
        vol.Required(const.CONF_TARGET): parse_endpoint,
    }
)


def load_settings(path: pathlib.Path) -> ProxySettings:
    """Read the settings; raise `SettingsError` that names the invalid section and key."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error) as err:
        raise SettingsError(f"{path}: {err}") from err
    if not parser.has_section(const.SECTION_PROXY):
        raise SettingsError(f"{path}: no section [{const.SECTION_PROXY}]")
    proxy = _check(_PROXY, const.SECTION_PROXY, parser[const.SECTION_PROXY])
    names = [name for name in parser.sections() if name.startswith(const.SECTION_LINK_PREFIX)]
    links = tuple(_link(name, parser[name]) for name in names)
    return ProxySettings(proxy[const.CONF_LISTEN], links)


def _link(section: str, raw: Mapping[str, str]) -> LinkSettings:
    values = _check(_LINK, section, raw)
    name = section.removeprefix(const.SECTION_LINK_PREFIX).strip()
    return LinkSettings(name, values[const.CONF_LISTEN], values[const.CONF_TARGET])


def _check(schema: vol.Schema, section: str, raw: Mapping[str, str]) -> dict[str, Any]:
    try:
        values: dict[str, Any] = schema(dict(raw))
    except vol.Invalid as err:
        raise SettingsError(f"[{section}] {err}") from err
    return values
