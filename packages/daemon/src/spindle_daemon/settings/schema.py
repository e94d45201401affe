"""The schema of the settings file."""

import ipaddress
import re
from typing import Any

import voluptuous as vol

from spindle_daemon.settings import const
from spindle_daemon.settings.endpoint import Endpoint

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MESH_SCHEME = "tcp://"
MAX_PORT = 65_535
LOG_LEVELS = ("debug", "info", "warning", "error")
YES_WORDS = ("yes", "on", "true", "1")
NO_WORDS = ("no", "off", "false", "0")


def name(value: str) -> str:
    """Check a name: lower case letters, digits and hyphens."""
    if not NAME_PATTERN.fullmatch(value):
        raise vol.Invalid("allowed: 1 to 63 of a-z, 0-9 and -, not starting with -")
    return value


def endpoint(value: str) -> Endpoint:
    """Parse an endpoint of the form `ip:port`."""
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise vol.Invalid("allowed: IP:PORT with a port of 1 to 65535")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise vol.Invalid("allowed: IP:PORT with an IP address, not a host name") from None
    return Endpoint(host, int(port))


def mesh_address(value: str) -> str:
    """Check a mesh address of the form `tcp://ip:port`."""
    if not value.startswith(MESH_SCHEME):
        raise vol.Invalid("allowed: tcp://IP:PORT")
    endpoint(value.removeprefix(MESH_SCHEME))
    return value


def switch(value: str) -> bool:
    """Parse a yes/no value."""
    if value.lower() in YES_WORDS:
        return True
    if value.lower() in NO_WORDS:
        return False
    raise vol.Invalid("allowed: yes or no")


def number(min_value: int, max_value: int) -> Any:
    """Return a validator for a whole number within bounds."""

    def check(value: str) -> int:
        if not value.isdecimal() or not min_value <= int(value) <= max_value:
            raise vol.Invalid(f"allowed: a whole number from {min_value} to {max_value}")
        return int(value)

    return check


def fraction(value: str) -> float:
    """Parse a number from 0 to 1."""
    try:
        parsed = float(value)
    except ValueError:
        parsed = -1.0
    if not 0.0 <= parsed <= 1.0:
        raise vol.Invalid("allowed: a number from 0 to 1")
    return parsed


def hosts(value: str) -> tuple[str, ...]:
    """Parse a list of `ip:port`, separated by commas; return the IP addresses only."""
    items = [item.strip() for item in value.split(",") if item.strip()]
    if not items:
        raise vol.Invalid("allowed: IP:PORT, separated by commas")
    return tuple(endpoint(item).host for item in items)


def one_of(*words: str) -> Any:
    """Return a validator that accepts one of the given words."""

    def check(value: str) -> str:
        if value not in words:
            raise vol.Invalid(f"allowed: {', '.join(words)}")
        return value

    return check


INSTANCE_SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_NAME): name,
        vol.Required(const.CONF_DATA_CENTER): name,
        vol.Required(const.CONF_ROLE): one_of(const.ROLE_ENTRY, const.ROLE_CONTROL),
        vol.Required(const.CONF_KEY_FILE): str,
        vol.Optional(const.CONF_DATA_DIR): str,
        vol.Optional(const.CONF_LOG_LEVEL, default=const.DEFAULT_LOG_LEVEL): one_of(*LOG_LEVELS),
    }
)
MESH_SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_LISTEN): mesh_address,
        vol.Optional(const.CONF_ADVERTISE): mesh_address,
    }
)
ADMIN_SCHEMA = vol.Schema({vol.Required(const.CONF_LISTEN): endpoint})


def _optional_number(key: str, default: int, min_value: int, max_value: int) -> dict[Any, Any]:
    return {vol.Optional(key, default=str(default)): number(min_value, max_value)}


ENTRY_SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_LISTEN): endpoint,
        **_optional_number(
            const.CONF_MAX_BODY_BYTES, const.DEFAULT_MAX_BODY_BYTES, 1, 16 * 1024 * 1024
        ),
        **_optional_number(const.CONF_MAX_CALLERS, const.DEFAULT_MAX_CALLERS, 1, 100_000),
        **_optional_number(
            const.CONF_HEADER_TIMEOUT_MS, const.DEFAULT_HEADER_TIMEOUT_MS, 10, 600_000
        ),
        **_optional_number(const.CONF_BODY_TIMEOUT_MS, const.DEFAULT_BODY_TIMEOUT_MS, 10, 600_000),
        **_optional_number(const.CONF_IDLE_TIMEOUT_MS, const.DEFAULT_IDLE_TIMEOUT_MS, 10, 600_000),
        **_optional_number(const.CONF_STOP_LAG_MS, const.DEFAULT_STOP_LAG_MS, 0, 600_000),
    }
)


def _switch_on(key: str) -> dict[Any, Any]:
    return {vol.Optional(key, default="yes"): switch}


SERVING_SCHEMA = vol.Schema(
    {
        vol.Optional(const.CONF_POLICY, default=const.POLICY_TIER): one_of(
            const.POLICY_TIER, const.POLICY_NAIVE
        ),
        **_switch_on(const.CONF_HEDGING),
        **_switch_on(const.CONF_RETRIES),
        **_switch_on(const.CONF_LIMITS),
        **_switch_on(const.CONF_EJECTION),
        **_switch_on(const.CONF_SHARES),
        **_switch_on(const.CONF_SNAPSHOT_PINNING),
        **_switch_on(const.CONF_CLAIMS),
    }
)
CONTROL_SCHEMA = vol.Schema(
    {
        **_optional_number(const.CONF_HEARTBEAT_MS, const.DEFAULT_HEARTBEAT_MS, 10, 10_000),
        **_optional_number(const.CONF_ELECTION_MIN_MS, const.DEFAULT_ELECTION_MIN_MS, 50, 60_000),
        **_optional_number(const.CONF_ELECTION_MAX_MS, const.DEFAULT_ELECTION_MAX_MS, 100, 120_000),
        **_optional_number(const.CONF_LEASE_MS, const.DEFAULT_LEASE_MS, 100, 600_000),
        **_optional_number(const.CONF_SNAPSHOT_EVERY, const.DEFAULT_SNAPSHOT_EVERY, 10, 1_000_000),
        **_switch_on(const.CONF_GROUP_COMMIT),
    }
)
FLEET_SCHEMA = vol.Schema(
    {
        vol.Required(const.CONF_SEEDS): hosts,
        vol.Required(const.CONF_SEED_PORT): number(1, MAX_PORT),
        vol.Optional(const.CONF_FOUNDING, default="no"): switch,
        vol.Required(const.CONF_UPSTREAM_LIST): endpoint,
    }
)
ROUTED_SCHEMA = vol.Schema(
    {
        vol.Optional(const.CONF_READY_LISTEN): endpoint,
        vol.Optional(const.CONF_OPERATOR_LISTEN): endpoint,
        **_optional_number(const.CONF_STOP_MS, const.DEFAULT_STOP_MS, 500, 600_000),
        vol.Optional(const.CONF_BUDGET_RATIO, default=str(const.DEFAULT_BUDGET_RATIO)): fraction,
        **_optional_number(
            const.CONF_BUDGET_WINDOW_MS, const.DEFAULT_BUDGET_WINDOW_MS, 100, 600_000
        ),
        **_optional_number(const.CONF_BUDGET_BURST, const.DEFAULT_BUDGET_BURST, 0, 1_000_000),
    }
)
PLATFORM_SCHEMA = vol.Schema({vol.Optional(const.CONF_LIST_FILE): str})
ADDRESSES_SCHEMA = vol.Schema({name: mesh_address})
