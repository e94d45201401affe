"""Keys of the WSGI environment."""

from spindle_decisions.wire.headers import HEADER_DEADLINE_MS, HEADER_REQUEST_ID, HEADER_SNAPSHOT


def environ_key(header: str) -> str:
    """Return the key of a request header in the WSGI environment.

    For example, the key of `X-Spindle-Snapshot` is `HTTP_X_SPINDLE_SNAPSHOT`.
    """
    return "HTTP_" + header.upper().replace("-", "_")


ENVIRON_REQUEST_ID = environ_key(HEADER_REQUEST_ID)
ENVIRON_SNAPSHOT = environ_key(HEADER_SNAPSHOT)
ENVIRON_DEADLINE_MS = environ_key(HEADER_DEADLINE_MS)
