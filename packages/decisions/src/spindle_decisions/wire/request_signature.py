"""Signing of operator requests over HTTP with the shared key."""

import hashlib
import hmac

from spindle_decisions.exceptions import AuthError

SIGNATURE_WINDOW_MS = 5 * 60 * 1000


def sign_request(key: bytes, method: str, path: str, signed_at_ms: int, body: bytes) -> str:
    """Return the signature of a request as hexadecimal digits.

    `path` is the path with its query, exactly as it stands in the request line.
    `signed_at_ms` is the signer's wall clock in Unix milliseconds; it travels
    in `X-Spindle-Signed-At` and the result in `X-Spindle-Signature`.
    """
    head = f"{method}\n{path}\n{signed_at_ms}\n".encode()
    return hmac.new(key, head + body, hashlib.sha256).hexdigest()


def verify_request(
    key: bytes,
    method: str,
    path: str,
    signed_at: str,
    signature: str,
    body: bytes,
    wall_ms: int,
) -> None:
    """Check the headers of a signed request; raise `AuthError` when they are not good.

    `signed_at` and `signature` are the values of the two headers, empty when
    missing. A signature is accepted for five minutes before and after
    `wall_ms`, so that a recorded request cannot be replayed for ever.
    """
    if not signature or not signed_at.isascii() or not signed_at.isdecimal():
        raise AuthError("the request is not signed")
    expected = sign_request(key, method, path, int(signed_at), body)
    if not hmac.compare_digest(expected.encode(), signature.encode()):
        raise AuthError("the signature of the request is wrong")
    if abs(wall_ms - int(signed_at)) > SIGNATURE_WINDOW_MS:
        raise AuthError("the request was signed more than five minutes from now; check the clocks")
