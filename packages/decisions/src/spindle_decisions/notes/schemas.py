"""The schemas of the sections of a release note."""

import voluptuous as vol

from spindle_decisions.notes.catalog_item_kind import CatalogItemKind
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.const import (
    CONF_ADDRESS,
    CONF_AUTHOR,
    CONF_CONNECTIONS,
    CONF_DATA_CENTER,
    CONF_DEADLINE_MS,
    CONF_DRAINING,
    CONF_EPOCH,
    CONF_FIRST_EPOCH,
    CONF_GROUP,
    CONF_ID,
    CONF_KIND,
    CONF_LAST_EPOCH,
    CONF_MIN_COVERAGE,
    CONF_NUMBER,
    CONF_REGION,
    CONF_SERVICE,
    CONF_SLOTS,
    CONF_TARGET_MS,
    MAX_CONNECTIONS,
    MAX_EPOCH,
    MAX_NOTE_NUMBER,
    MAX_SLOTS,
    MAX_TIME_MS,
)
from spindle_decisions.notes.validators import (
    integer_validator,
    optional_epoch_validator,
    validate_address,
    validate_author,
    validate_boolean,
    validate_id,
    validate_kind,
    validate_name,
    validate_ratio,
)

_EPOCH = integer_validator(1, MAX_EPOCH)
_LAST_EPOCH = optional_epoch_validator(MAX_EPOCH)
_TIME_MS = integer_validator(1, MAX_TIME_MS)
_SLOTS = integer_validator(1, MAX_SLOTS)
_CONNECTIONS = integer_validator(1, MAX_CONNECTIONS)

_GROUP_KEYS = {
    vol.Optional(CONF_EPOCH): _EPOCH,
    vol.Optional(CONF_DEADLINE_MS): _TIME_MS,
    vol.Optional(CONF_TARGET_MS): _TIME_MS,
    vol.Optional(CONF_MIN_COVERAGE): validate_ratio,
}
_SERVICE_KEYS = {
    vol.Optional(CONF_FIRST_EPOCH): _EPOCH,
    vol.Optional(CONF_LAST_EPOCH): _LAST_EPOCH,
}
_UPSTREAM_KEYS = {
    vol.Optional(CONF_SLOTS): _SLOTS,
    vol.Optional(CONF_CONNECTIONS): _CONNECTIONS,
    vol.Optional(CONF_DRAINING): validate_boolean,
}

NOTE_SCHEMA = vol.Schema(
    {
        vol.Required(CONF_NUMBER): integer_validator(1, MAX_NOTE_NUMBER),
        vol.Required(CONF_ID): validate_id,
        vol.Required(CONF_AUTHOR): validate_author,
    }
)

_ADDED_SCHEMAS = {
    CatalogItemKind.DATA_CENTER: vol.Schema({vol.Optional(CONF_REGION): validate_name}),
    CatalogItemKind.GROUP: vol.Schema({vol.Required(CONF_KIND): validate_kind, **_GROUP_KEYS}),
    CatalogItemKind.SERVICE: vol.Schema({vol.Required(CONF_GROUP): validate_name, **_SERVICE_KEYS}),
    CatalogItemKind.UPSTREAM: vol.Schema(
        {
            vol.Required(CONF_SERVICE): validate_name,
            vol.Required(CONF_DATA_CENTER): validate_name,
            vol.Required(CONF_ADDRESS): validate_address,
            **_UPSTREAM_KEYS,
        }
    ),
}

_CHANGED_SCHEMAS = {
    CatalogItemKind.DATA_CENTER: vol.Schema({vol.Optional(CONF_REGION): validate_name}),
    CatalogItemKind.GROUP: vol.Schema(_GROUP_KEYS),
    CatalogItemKind.SERVICE: vol.Schema(_SERVICE_KEYS),
    CatalogItemKind.UPSTREAM: vol.Schema(
        {vol.Optional(CONF_ADDRESS): validate_address, **_UPSTREAM_KEYS}
    ),
}

_WITHDRAWN_SCHEMA = vol.Schema({})


def section_schema(action: ChangeAction, item_kind: CatalogItemKind) -> vol.Schema:
    """Return the schema of a section with this action and kind of item."""
    if action is ChangeAction.ADDED:
        return _ADDED_SCHEMAS[item_kind]
    if action is ChangeAction.CHANGED:
        return _CHANGED_SCHEMAS[item_kind]
    return _WITHDRAWN_SCHEMA
