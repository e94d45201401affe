"""Fingerprint that is equal for repetitions of a request."""

import hashlib

from spindle_decisions.wire.caller_request import CallerRequest

DIGEST_BYTES = 8


def request_fingerprint(request: CallerRequest) -> str:
    """Return a hash of method, host, target and body.

    Neither the id of the attempt nor other headers are part of it, so that a request has the
    same fingerprint at each instance and from each caller.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (request.method, request.host, request.target):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    digest.update(request.body)
    return digest.hexdigest()
