"""Minimal renderer of settings templates, for `platform/settings.ini`."""

import pathlib
import re
from typing import Any

TEMPLATE = pathlib.Path("platform/settings.ini")
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def render(fields: dict[str, Any]) -> str:
    """Return the settings file that the platform writes for these fields."""
    text = TEMPLATE.read_text()
    text = _SECTION.sub(lambda match: match[2] if _lookup(fields, match[1]) else "", text)
    return _VALUE.sub(lambda match: _format_value(_lookup(fields, match[1])), text)


def _lookup(fields: Any, path: str) -> Any:
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = (fields or {}).get(part)
    return fields


def _format_value(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
