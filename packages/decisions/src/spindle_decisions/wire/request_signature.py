"""Signing of operator requests over HTTP with the shared key."""

import hashlib
import hmac

from spindle_decisions.exceptions import AuthError

SIGNATURE_WINDOW_MS = 5 * 60 * 1000


def sign_request(key: bytes, method: str, path: str, signed_at_ms: int, body: bytes) -> str:
    """Return the signature of a request as hexadecimal digits.

    `path` is the path with its query, exactly as in the request line. `signed_at_ms`
    is the signer's wall clock in Unix milliseconds; it is sent in
    `X-Spindle-Signed-At` and the signature in `X-Spindle-Signature`.
    """
    prefix = f"{method}\n{path}\n{signed_at_ms}\n".encode()
    return hmac.new(key, prefix + body, hashlib.sha256).hexdigest()


def verify_request(
    key: bytes,
    method: str,
    path: str,
    signed_at: str,
    signature: str,
    body: bytes,
    wall_ms: int,
) -> None:
    """Verify the signature headers of a request; raise `AuthError` if they are not valid.

    `signed_at` and `signature` are the values of the two headers, empty if missing.
    A signature is accepted for five minutes before and after `wall_ms`, the wall
    clock of the verifier in Unix milliseconds, to limit replays of a recorded request.
    """
    if not signature or not signed_at.isascii() or not signed_at.isdecimal():
        raise AuthError(f"{method} {path} has no signature or no valid signing time")
    expected = sign_request(key, method, path, int(signed_at), body)
    if not hmac.compare_digest(expected.encode(), signature.encode()):
        raise AuthError(f"the signature of {method} {path} does not match the shared key")
    if abs(wall_ms - int(signed_at)) > SIGNATURE_WINDOW_MS:
        raise AuthError(
            f"{method} {path} was signed at {signed_at} ms, more than {SIGNATURE_WINDOW_MS} ms "
            f"from the time of this instance, {wall_ms} ms; check the clocks"
        )
