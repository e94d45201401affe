"""Reading and checking of the settings file."""

import configparser
import pathlib
from typing import Any

import voluptuous as vol

from spindle_daemon.settings import const, schema
from spindle_daemon.settings.control_settings import ControlSettings
from spindle_daemon.settings.entry_settings import EntrySettings
from spindle_daemon.settings.fleet_settings import FleetSettings
from spindle_daemon.settings.instance_address import InstanceAddress
from spindle_daemon.settings.instance_settings import InstanceSettings
from spindle_daemon.settings.mesh_settings import MeshSettings
from spindle_daemon.settings.routed_settings import RoutedSettings
from spindle_daemon.settings.serving_settings import ServingSettings
from spindle_daemon.settings.settings import Settings
from spindle_decisions.exceptions import SettingsError

KNOWN_SECTIONS = (
    const.SECTION_INSTANCE,
    const.SECTION_MESH,
    const.SECTION_ADMIN,
    const.SECTION_ENTRY,
    const.SECTION_SERVING,
    const.SECTION_CONTROL,
    const.SECTION_CONTROLS,
    const.SECTION_PEERS,
    const.SECTION_PLATFORM,
    const.SECTION_FLEET,
    const.SECTION_ROUTED,
)
MAX_CONTROLS = 7


def load_settings(path: pathlib.Path) -> Settings:
    """Read a settings file; raise `SettingsError` with the wrong value and what is allowed."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(f"cannot read {path}: {err}") from err
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parse and check the text of a settings file; raise `SettingsError`."""
    parser = _read_ini(text)
    instance = _instance(_section(parser, const.SECTION_INSTANCE, schema.INSTANCE_SCHEMA))
    mesh = _section(parser, const.SECTION_MESH, schema.MESH_SCHEMA)
    admin = _section(parser, const.SECTION_ADMIN, schema.ADMIN_SCHEMA)
    return Settings(
        instance=instance,
        mesh=MeshSettings(
            mesh[const.CONF_LISTEN], mesh.get(const.CONF_ADVERTISE, mesh[const.CONF_LISTEN])
        ),
        admin=admin[const.CONF_LISTEN],
        controls=() if parser.has_section(const.SECTION_FLEET) else _controls(parser),
        peers=_addresses(parser, const.SECTION_PEERS),
        platform_list=_platform_list(parser),
        serving=_serving(_section(parser, const.SECTION_SERVING, schema.SERVING_SCHEMA)),
        entry=_entry(parser, instance),
        control=_control(parser, instance),
        fleet=_fleet(parser),
        routed=_routed(parser, instance),
    )


def _read_ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.Error as err:
        raise SettingsError(f"not an INI file: {err}") from err
    for section in parser.sections():
        if section not in KNOWN_SECTIONS:
            raise SettingsError(
                f"[{section}]: unknown section; allowed: {', '.join(KNOWN_SECTIONS)}"
            )
    return parser


def _section(parser: configparser.ConfigParser, section: str, checks: vol.Schema) -> dict[str, Any]:
    values = dict(parser[section]) if parser.has_section(section) else {}
    try:
        checked: dict[str, Any] = checks(values)
    except vol.MultipleInvalid as err:
        raise SettingsError(_explain(section, values, err.errors[0])) from err
    return checked


def _explain(section: str, values: dict[str, str], error: vol.Invalid) -> str:
    key = str(error.path[0]) if error.path else ""
    value = values.get(key)
    shown = "missing" if value is None else repr(value)
    return f"[{section}] {key} = {shown}: {error.msg}"


def _instance(values: dict[str, Any]) -> InstanceSettings:
    data_dir = values.get(const.CONF_DATA_DIR)
    if values[const.CONF_ROLE] == const.ROLE_CONTROL and data_dir is None:
        raise SettingsError(
            f"[{const.SECTION_INSTANCE}] {const.CONF_DATA_DIR} = missing: "
            "allowed: a folder on disk; the role control needs one"
        )
    return InstanceSettings(
        name=values[const.CONF_NAME],
        data_center=values[const.CONF_DATA_CENTER],
        role=values[const.CONF_ROLE],
        key_file=pathlib.Path(values[const.CONF_KEY_FILE]),
        data_dir=pathlib.Path(data_dir) if data_dir else None,
        log_level=values[const.CONF_LOG_LEVEL],
    )


def _serving(values: dict[str, Any]) -> ServingSettings:
    return ServingSettings(
        policy=values[const.CONF_POLICY],
        hedging=values[const.CONF_HEDGING],
        retries=values[const.CONF_RETRIES],
        limits=values[const.CONF_LIMITS],
        ejection=values[const.CONF_EJECTION],
        shares=values[const.CONF_SHARES],
        snapshot_pinning=values[const.CONF_SNAPSHOT_PINNING],
        claims=values[const.CONF_CLAIMS],
    )


def _entry(parser: configparser.ConfigParser, instance: InstanceSettings) -> EntrySettings | None:
    if instance.role != const.ROLE_ENTRY:
        return None
    values = _section(parser, const.SECTION_ENTRY, schema.ENTRY_SCHEMA)
    return EntrySettings(
        listen=values[const.CONF_LISTEN],
        max_body_bytes=values[const.CONF_MAX_BODY_BYTES],
        max_callers=values[const.CONF_MAX_CALLERS],
        header_timeout_ms=values[const.CONF_HEADER_TIMEOUT_MS],
        body_timeout_ms=values[const.CONF_BODY_TIMEOUT_MS],
        idle_timeout_ms=values[const.CONF_IDLE_TIMEOUT_MS],
        stop_lag_ms=values[const.CONF_STOP_LAG_MS],
    )


def _control(
    parser: configparser.ConfigParser, instance: InstanceSettings
) -> ControlSettings | None:
    if instance.role != const.ROLE_CONTROL:
        return None
    values = _section(parser, const.SECTION_CONTROL, schema.CONTROL_SCHEMA)
    if values[const.CONF_ELECTION_MIN_MS] >= values[const.CONF_ELECTION_MAX_MS]:
        raise SettingsError(
            f"[{const.SECTION_CONTROL}] {const.CONF_ELECTION_MIN_MS} = "
            f"{values[const.CONF_ELECTION_MIN_MS]}: allowed: less than {const.CONF_ELECTION_MAX_MS}"
        )
    return ControlSettings(
        heartbeat_ms=values[const.CONF_HEARTBEAT_MS],
        election_min_ms=values[const.CONF_ELECTION_MIN_MS],
        election_max_ms=values[const.CONF_ELECTION_MAX_MS],
        lease_ms=values[const.CONF_LEASE_MS],
        snapshot_every=values[const.CONF_SNAPSHOT_EVERY],
        group_commit=values[const.CONF_GROUP_COMMIT],
    )


def _controls(parser: configparser.ConfigParser) -> tuple[InstanceAddress, ...]:
    controls = _addresses(parser, const.SECTION_CONTROLS)
    if not 0 < len(controls) <= MAX_CONTROLS:
        raise SettingsError(
            f"[{const.SECTION_CONTROLS}] has {len(controls)} entries: "
            f"allowed: 1 to {MAX_CONTROLS} lines NAME = tcp://IP:PORT"
        )
    return controls


def _fleet(parser: configparser.ConfigParser) -> FleetSettings | None:
    if not parser.has_section(const.SECTION_FLEET):
        return None
    values = _section(parser, const.SECTION_FLEET, schema.FLEET_SCHEMA)
    port = values[const.CONF_SEED_PORT]
    return FleetSettings(
        seeds=tuple(f"{schema.MESH_SCHEME}{host}:{port}" for host in values[const.CONF_SEEDS]),
        founding=values[const.CONF_FOUNDING],
        upstream_list=values[const.CONF_UPSTREAM_LIST],
    )


def _routed(parser: configparser.ConfigParser, instance: InstanceSettings) -> RoutedSettings | None:
    if not parser.has_section(const.SECTION_ROUTED):
        return None
    values = _section(parser, const.SECTION_ROUTED, schema.ROUTED_SCHEMA)
    needed = const.CONF_READY_LISTEN
    if instance.role == const.ROLE_CONTROL:
        needed = const.CONF_OPERATOR_LISTEN
    if needed not in values:
        raise SettingsError(f"[{const.SECTION_ROUTED}] {needed} = missing: allowed: IP:PORT")
    return RoutedSettings(
        ready_listen=values.get(const.CONF_READY_LISTEN),
        operator_listen=values.get(const.CONF_OPERATOR_LISTEN),
        stop_ms=values[const.CONF_STOP_MS],
        budget_ratio=values[const.CONF_BUDGET_RATIO],
        budget_window_ms=values[const.CONF_BUDGET_WINDOW_MS],
        budget_burst=values[const.CONF_BUDGET_BURST],
    )


def _platform_list(parser: configparser.ConfigParser) -> pathlib.Path | None:
    values = _section(parser, const.SECTION_PLATFORM, schema.PLATFORM_SCHEMA)
    text = values.get(const.CONF_LIST_FILE)
    return pathlib.Path(text) if text else None


def _addresses(parser: configparser.ConfigParser, section: str) -> tuple[InstanceAddress, ...]:
    values = _section(parser, section, schema.ADDRESSES_SCHEMA)
    return tuple(InstanceAddress(key, values[key]) for key in sorted(values))
