"""Parses a release note from INI text."""

import configparser
from typing import Any

import voluptuous as vol

from spindle_decisions.exceptions import NoteError
from spindle_decisions.notes.canonical import note_digest
from spindle_decisions.notes.catalog_item_kind import CatalogItemKind
from spindle_decisions.notes.change import Change
from spindle_decisions.notes.change_action import ChangeAction
from spindle_decisions.notes.const import (
    CONF_AUTHOR,
    CONF_ID,
    CONF_NUMBER,
    MAX_NOTE_BYTES,
    MAX_SECTIONS,
    SECTION_NOTE,
)
from spindle_decisions.notes.errors import create_value_error
from spindle_decisions.notes.line_index import LineIndex, create_line_index
from spindle_decisions.notes.note import Note
from spindle_decisions.notes.schemas import NOTE_SCHEMA, section_schema
from spindle_decisions.notes.setting import Setting
from spindle_decisions.notes.validators import Address, validate_name

_ALLOWED_CONTROL_CHARACTERS = frozenset("\n\r\t")
_ALLOWED_SECTIONS = (
    f"[{SECTION_NOTE}] or three words: {', '.join(ChangeAction)}; "
    f"{', '.join(CatalogItemKind)}; a name"
)


def parse_note(text: str) -> Note:
    """Parse a release note and validate each of its values.

    Raises `NoteError`; for an invalid value its text names line, section, key,
    value and what is allowed. Example of a note that adds a data centre:

        [note]
        number = 1
        id = 0193a1de-7c1e-7d2a-9f2b-0c4f3a5b6d7e
        author = yann
        [added data-center rennes-a]
        region = bretagne
    """
    _check_text(text)
    lines = create_line_index(text)
    parser = _parse_ini(text)
    _check_section_count(parser)
    if not parser.has_section(SECTION_NOTE):
        raise NoteError(f"section [{SECTION_NOTE}] is missing")
    header = _validate_section(lines, parser, SECTION_NOTE, NOTE_SCHEMA)
    changes = tuple(
        _parse_change(lines, parser, section)
        for section in parser.sections()
        if section != SECTION_NOTE
    )
    if not changes:
        raise NoteError("the note holds no change: at least one section beside [note] is needed")
    _check_no_duplicate_item(changes)
    return Note(
        number=header[CONF_NUMBER],
        note_id=header[CONF_ID],
        author=header[CONF_AUTHOR],
        digest=note_digest(parser),
        changes=changes,
    )


def _check_text(text: str) -> None:
    if len(text) > MAX_NOTE_BYTES:
        raise NoteError(f"the note is larger than {MAX_NOTE_BYTES} bytes")
    try:
        size_bytes = len(text.encode())
    except UnicodeEncodeError as err:
        raise NoteError("the note is not valid Unicode text") from err
    if size_bytes > MAX_NOTE_BYTES:
        raise NoteError(f"the note is {size_bytes} bytes, allowed are {MAX_NOTE_BYTES}")
    for number, line in enumerate(text.split("\n"), start=1):
        for character in line:
            if not character.isprintable() and character not in _ALLOWED_CONTROL_CHARACTERS:
                raise NoteError(f"line {number}: character {character!r} is not allowed")


def _parse_ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        default_section="",
        delimiters=("=",),
        empty_lines_in_values=False,
        interpolation=None,
        strict=True,
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source="note")
    except configparser.Error as err:
        raise NoteError(" ".join(str(err).split())) from err
    return parser


def _check_section_count(parser: configparser.ConfigParser) -> None:
    count = len(parser.sections())
    if count > MAX_SECTIONS:
        raise NoteError(f"the note has {count} sections, allowed are {MAX_SECTIONS}")


def _check_no_duplicate_item(changes: tuple[Change, ...]) -> None:
    seen: dict[tuple[CatalogItemKind, str], Change] = {}
    for change in changes:
        item = (change.item_kind, change.name)
        earlier = seen.setdefault(item, change)
        if earlier is not change:
            raise NoteError(
                f"line {change.line}, [{change.section}]: the note already holds "
                f"[{earlier.section}] at line {earlier.line}, allowed is one section for a member"
            )


def _parse_change(lines: LineIndex, parser: configparser.ConfigParser, section: str) -> Change:
    line = lines.line_of(section)
    words = section.split(" ")
    if (
        len(words) != 3
        or words[0] not in list(ChangeAction)
        or words[1] not in list(CatalogItemKind)
    ):
        raise create_value_error(line, section, "section", section, _ALLOWED_SECTIONS)
    action, item_kind, name = ChangeAction(words[0]), CatalogItemKind(words[1]), words[2]
    try:
        validate_name(name)
    except vol.Invalid as err:
        raise create_value_error(line, section, "name", name, err.msg) from err
    values = _validate_section(lines, parser, section, section_schema(action, item_kind))
    if action is ChangeAction.CHANGED and not values:
        raise create_value_error(line, section, "key", None, "at least one key to change")
    return Change(action, item_kind, name, _create_settings(values), line)


def _create_settings(values: dict[str, Any]) -> tuple[Setting, ...]:
    settings = []
    for key, value in values.items():
        if isinstance(value, Address):
            settings.append(Setting("host", value.host))
            settings.append(Setting("port", value.port))
        else:
            settings.append(Setting(key.replace("-", "_"), value))
    return tuple(settings)


def _validate_section(
    lines: LineIndex, parser: configparser.ConfigParser, section: str, schema: vol.Schema
) -> dict[str, Any]:
    raw_values = dict(parser.items(section))
    try:
        values: dict[str, Any] = schema(raw_values)
    except vol.MultipleInvalid as err:
        first = min(err.errors, key=_error_key)
        key = _error_key(first)
        raise create_value_error(
            lines.line_of(section, key),
            section,
            key,
            raw_values.get(key),
            _describe_allowed(first, schema),
        ) from err
    return values


def _error_key(error: vol.Invalid) -> str:
    """Return the key of an error, to sort by: the library returns errors in no fixed order."""
    return str(error.path[0])


def _describe_allowed(error: vol.Invalid, schema: vol.Schema) -> str:
    if error.msg != "extra keys not allowed" and not isinstance(error, vol.RequiredFieldInvalid):
        return str(error.msg)
    keys = ", ".join(sorted(str(key) for key in schema.schema))
    if isinstance(error, vol.RequiredFieldInvalid):
        return f"a section with this key (keys: {keys})"
    return f"one of the keys {keys}" if keys else "no key here"
