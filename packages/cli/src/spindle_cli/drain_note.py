"""The release notes that the commands `drain` and `undrain` write."""

import configparser
import io


def drain_note(number: int, note_id: str, author: str, upstream: str, draining: bool) -> bytes:
    """Return a note that sets whether one upstream is draining."""
    parser = configparser.ConfigParser(interpolation=None)
    parser["note"] = {"number": str(number), "id": note_id, "author": author}
    parser[f"changed upstream {upstream}"] = {"draining": "yes" if draining else "no"}
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue().encode()
