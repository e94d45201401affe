"""Parsing of the headers of a caller's request."""

import math
import uuid
from collections.abc import Mapping

from spindle_daemon.components.entry_http import const
from spindle_decisions.exceptions import BadRequestError
from spindle_decisions.wire.headers import (
    HEADER_DEADLINE_MS,
    HEADER_FIRST_SENDING,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_MIN_COVERAGE,
)

KEY_UUID_VERSION = 7
FIRST_SENDING_YES = "yes"
FIRST_SENDING_NO = "no"


def environ_key(header: str) -> str:
    """Return the WSGI environment key of a header."""
    return "HTTP_" + header.upper().replace("-", "_")


def deadline_ms(environ: Mapping[str, object]) -> float | None:
    """Return the caller's deadline in milliseconds, or `None` if not given.

    Raises `BadRequestError` unless it is from 1 to `MAX_DEADLINE_MS`.
    """
    return _number(environ, HEADER_DEADLINE_MS, 1.0, const.MAX_DEADLINE_MS)


def min_coverage(environ: Mapping[str, object]) -> float | None:
    """Return the minimum coverage that the caller accepts, or `None` if not given.

    Raises `BadRequestError` unless it is from 0 to 1.
    """
    return _number(environ, HEADER_MIN_COVERAGE, 0.0, 1.0)


def idempotency_key(environ: Mapping[str, object]) -> str:
    """Return the caller's request id, a UUID of version 7.

    Raises `BadRequestError` for any other value and for a non-canonical spelling.
    """
    text = str(environ.get(environ_key(HEADER_IDEMPOTENCY_KEY), ""))
    try:
        value = uuid.UUID(text)
    except ValueError:
        raise BadRequestError(
            f"{HEADER_IDEMPOTENCY_KEY} must be a canonical UUID of version 7"
        ) from None
    if value.version != KEY_UUID_VERSION or str(value) != text.lower():
        raise BadRequestError(f"{HEADER_IDEMPOTENCY_KEY} must be a canonical UUID of version 7")
    return str(value)


def first_sending(environ: Mapping[str, object]) -> bool:
    """Return whether the caller states that it never sent this id before.

    Raises `BadRequestError` for a value other than "yes" and "no".
    """
    text = str(environ.get(environ_key(HEADER_FIRST_SENDING), FIRST_SENDING_NO)).lower()
    if text not in (FIRST_SENDING_YES, FIRST_SENDING_NO):
        raise BadRequestError(
            f"{HEADER_FIRST_SENDING} must be {FIRST_SENDING_YES} or {FIRST_SENDING_NO}"
        )
    return text == FIRST_SENDING_YES


def _number(
    environ: Mapping[str, object], header: str, minimum: float, maximum: float
) -> float | None:
    text = environ.get(environ_key(header))
    if text is None:
        return None
    try:
        value = float(str(text))
    except ValueError:
        value = math.nan
    if not minimum <= value <= maximum:
        raise BadRequestError(f"{header} must be a number from {minimum:g} to {maximum:g}")
    return value
