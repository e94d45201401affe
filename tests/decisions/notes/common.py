"""Release notes and catalogs for tests."""

from spindle_decisions.catalog.catalog import EMPTY_CATALOG, Catalog
from spindle_decisions.notes.applier import apply_note
from spindle_decisions.notes.parser import parse_note

NOTE_ID = "0193a1de-7c1e-7d2a-9f2b-0c4f3a5b6d7e"

BASE = """
[added data-center rennes-a]
region = bretagne
[added group comptoir]
kind = query
target-ms = 330
[added service comptoir-01]
group = comptoir
[added service comptoir-02]
group = comptoir
[added upstream comptoir-01-a]
service = comptoir-01
data-center = rennes-a
address = 127.0.0.1:9001
slots = 2
connections = 25
"""


def note_text(body: str, number: int = 1, note_id: str = NOTE_ID, author: str = "yann") -> str:
    """Return a whole note with the given sections."""
    return f"[note]\nnumber = {number}\nid = {note_id}\nauthor = {author}\n{body}"


def build_catalog(*bodies: str) -> Catalog:
    """Return the empty catalog after notes with these bodies, applied in order."""
    catalog = EMPTY_CATALOG
    for body in bodies:
        catalog = apply_note(catalog, parse_note(note_text(body)))
    return catalog
