"""The canonical form of a release note and its digest."""

import configparser
import hashlib


def canonical_text(parser: configparser.ConfigParser) -> str:
    """Return the sections and keys in sorted order, without comments and spacing.

    Values stay as written and no defaults are filled in, so that the digest of a
    note is the same in a release with more keys or other defaults.
    """
    lines = []
    for section in sorted(parser.sections()):
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in sorted(parser.items(section)))
    return "\n".join(lines)


def note_digest(parser: configparser.ConfigParser) -> str:
    """Return the SHA-256 of the canonical form as hexadecimal digits."""
    return hashlib.sha256(canonical_text(parser).encode()).hexdigest()
