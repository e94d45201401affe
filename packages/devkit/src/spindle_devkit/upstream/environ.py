"""Keys of the WSGI environment."""

from spindle_decisions.wire.headers import HEADER_DEADLINE_MS, HEADER_REQUEST_ID, HEADER_SNAPSHOT


def environ_key(header: str) -> str:
    """Return the key under which a request header is found.

    For example, `X-Spindle-Snapshot` is found under `HTTP_X_SPINDLE_SNAPSHOT`.
    """
    return "HTTP_" + header.upper().replace("-", "_")


ENVIRON_REQUEST_ID = environ_key(HEADER_REQUEST_ID)
ENVIRON_SNAPSHOT = environ_key(HEADER_SNAPSHOT)
ENVIRON_DEADLINE_MS = environ_key(HEADER_DEADLINE_MS)
