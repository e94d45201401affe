"""One validated value of a change."""

import msgspec


class Setting(msgspec.Struct, frozen=True):
    """A field of a catalog model and the value that the note gives it.

    `field` is the name in the model, such as `target_ms` for the key
    `target-ms`. A key that sets two fields, such as `address`, results in two
    settings.
    """

    field: str
    value: str | int | float | bool | None
