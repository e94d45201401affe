"""The answer to a query as a caller gets it."""

import msgspec


class QueryAnswer(msgspec.Struct, frozen=True):
    """Rows of one snapshot with their true coverage.

    `covered` and `missing` name all services of the snapshot's partition epoch,
    `services_total` in number. `config_age_s` is how long ago a control
    instance last confirmed the configuration this answer rests on.
    """

    request_id: str
    snapshot: str
    services_total: int
    covered: list[str]
    missing: list[str]
    rows: list[msgspec.Raw]
    config_version: int
    config_age_s: float
