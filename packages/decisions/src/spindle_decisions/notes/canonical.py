"""The canonical form of a release note, over which its digest is taken."""

import configparser
import hashlib


def canonical_text(parser: configparser.ConfigParser) -> str:
    """Return the sections and keys in sorted order, without comments and spacing.

    Values stay as written and no defaults are filled in, so the digest of a note
    does not change with a release that knows more keys or other defaults.
    """
    lines = []
    for section in sorted(parser.sections()):
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in sorted(parser.items(section)))
    return "\n".join(lines)


def note_digest(parser: configparser.ConfigParser) -> str:
    """Return the SHA-256 of the canonical form in hexadecimal digits."""
    return hashlib.sha256(canonical_text(parser).encode()).hexdigest()
