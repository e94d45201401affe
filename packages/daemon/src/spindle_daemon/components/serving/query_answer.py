"""The answer to a query, as sent to the caller."""

import msgspec


class QueryAnswer(msgspec.Struct, frozen=True):
    """Rows of one snapshot with the services that they cover.

    `covered` and `missing` together name all `services_total` services of the
    snapshot's partition epoch. `config_age_s` is the time in seconds since a
    control instance last confirmed the configuration used for this answer.
    """

    request_id: str
    snapshot: str
    services_total: int
    covered: list[str]
    missing: list[str]
    rows: list[msgspec.Raw]
    config_version: int
    config_age_s: float
