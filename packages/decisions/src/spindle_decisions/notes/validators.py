"""Validators for the values of release notes.

Each converts the text of a value to the typed value and raises
`voluptuous.Invalid`, with a message that says what is allowed, if it is invalid.
"""

import ipaddress
import re
import uuid
from collections.abc import Callable

import msgspec
import voluptuous as vol

from spindle_decisions.catalog.group import GroupKind
from spindle_decisions.notes.const import MAX_AUTHOR_LENGTH, MAX_NAME_LENGTH, MAX_PORT

ALLOWED_NAME = f"1 to {MAX_NAME_LENGTH} of a-z, 0-9 and -, with a letter or digit at both ends"
ALLOWED_AUTHOR = f"1 to {MAX_AUTHOR_LENGTH} printable characters"
ALLOWED_ID = "a UUID in lower case, as in 0193a1de-7c1e-7d2a-9f2b-0c4f3a5b6d7e"
ALLOWED_ADDRESS = (
    f"IP number and port from 1 to {MAX_PORT}, as in 127.0.0.1:9001 or [::1]:9001, "
    "neither unspecified nor multicast"
)
ALLOWED_BOOLEAN = "yes or no"
ALLOWED_RATIO = "a decimal number from 0 to 1, as in 0.95"
NO_EPOCH = "none"

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]*[a-z0-9])?", re.ASCII)
_WHOLE_NUMBER_PATTERN = re.compile(r"[0-9]{1,10}", re.ASCII)
_RATIO_PATTERN = re.compile(r"[01](\.[0-9]{1,6})?", re.ASCII)
_ADDRESS_PATTERN = re.compile(r"(\[(?P<v6>[0-9a-fA-F:.]+)\]|(?P<v4>[0-9.]+)):(?P<port>[0-9]{1,5})")


class Address(msgspec.Struct, frozen=True):
    """An IP address in its shortest form and a port."""

    host: str
    port: int


def validate_name(value: str) -> str:
    """Return the name of a catalog item."""
    if len(value) > MAX_NAME_LENGTH or _NAME_PATTERN.fullmatch(value) is None:
        raise vol.Invalid(ALLOWED_NAME)
    return value


def validate_author(value: str) -> str:
    """Return the author of a note."""
    if not 1 <= len(value) <= MAX_AUTHOR_LENGTH or not value.isprintable():
        raise vol.Invalid(ALLOWED_AUTHOR)
    return value


def validate_id(value: str) -> str:
    """Return the id of a note."""
    try:
        parsed = uuid.UUID(value)
    except ValueError as err:
        raise vol.Invalid(ALLOWED_ID) from err
    if str(parsed) != value:
        raise vol.Invalid(ALLOWED_ID)
    return value


def validate_address(value: str) -> Address:
    """Return the address of an upstream."""
    match = _ADDRESS_PATTERN.fullmatch(value)
    if match is None:
        raise vol.Invalid(ALLOWED_ADDRESS)
    port = int(match["port"])
    try:
        host = ipaddress.ip_address(match["v6"] or match["v4"])
    except ValueError as err:
        raise vol.Invalid(ALLOWED_ADDRESS) from err
    if not 1 <= port <= MAX_PORT or host.is_unspecified or host.is_multicast:
        raise vol.Invalid(ALLOWED_ADDRESS)
    return Address(str(host), port)


def validate_boolean(value: str) -> bool:
    """Return `True` for `yes` and `False` for `no`."""
    if value not in ("yes", "no"):
        raise vol.Invalid(ALLOWED_BOOLEAN)
    return value == "yes"


def validate_ratio(value: str) -> float:
    """Return a ratio from 0 to 1."""
    if _RATIO_PATTERN.fullmatch(value) is None or float(value) > 1.0:
        raise vol.Invalid(ALLOWED_RATIO)
    return float(value)


def validate_kind(value: str) -> GroupKind:
    """Return the kind of a group."""
    if value not in list(GroupKind):
        raise vol.Invalid(" or ".join(GroupKind))
    return GroupKind(value)


def integer_validator(lowest: int, highest: int) -> Callable[[str], int]:
    """Return a validator for integers from `lowest` to `highest`, both included."""
    allowed = f"a whole number from {lowest} to {highest}"

    def validate(value: str) -> int:
        if _WHOLE_NUMBER_PATTERN.fullmatch(value) is None:
            raise vol.Invalid(allowed)
        if not lowest <= int(value) <= highest:
            raise vol.Invalid(allowed)
        return int(value)

    return validate


def optional_epoch_validator(highest: int) -> Callable[[str], int | None]:
    """Return a validator for an epoch from 1 to `highest`, or `none`, which gives `None`."""
    validate_number = integer_validator(1, highest)

    def validate(value: str) -> int | None:
        if value == NO_EPOCH:
            return None
        try:
            return validate_number(value)
        except vol.Invalid as err:
            raise vol.Invalid(f"{err.msg}, or {NO_EPOCH}") from err

    return validate
