"""Encoding and signing of frames."""

import hashlib
import hmac

import msgspec

from spindle_decisions.exceptions import AuthError, FrameError
from spindle_decisions.wire.frame import Frame

FRAME_VERSION = 1
VERSION_BYTES = 1
SIGNATURE_BYTES = hashlib.sha256().digest_size
MAX_FRAME_BYTES = 4 * 1024 * 1024


class FrameCodec:
    """Encodes and decodes frames of version byte, HMAC-SHA256 signature and msgpack body.

    The key is shared by all processes of one deployment. The signature covers
    the version byte and the body.
    """

    def __init__(self, key: bytes) -> None:
        self.key = key
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Frame)

    def encode(self, frame: Frame) -> bytes:
        """Encode and sign a frame; raise `FrameError` if it exceeds `MAX_FRAME_BYTES`."""
        body = self.encoder.encode(frame)
        if len(body) + VERSION_BYTES + SIGNATURE_BYTES > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame with a body of {len(body)} bytes exceeds the limit of "
                f"{MAX_FRAME_BYTES} bytes"
            )
        version = bytes([FRAME_VERSION])
        return version + self._sign(version, body) + body

    def decode(self, data: bytes) -> Frame:
        """Verify and decode a frame.

        Raises `AuthError` for a wrong signature, and `FrameError` for a frame that is
        too large, too short, of an unknown version or malformed.
        """
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            )
        if len(data) <= VERSION_BYTES + SIGNATURE_BYTES:
            raise FrameError(
                f"frame of {len(data)} bytes is too short: the body must follow "
                f"{VERSION_BYTES} byte of version and {SIGNATURE_BYTES} bytes of signature"
            )
        version = data[:VERSION_BYTES]
        if version[0] != FRAME_VERSION:
            raise FrameError(
                f"frame version {version[0]} is not supported, expected {FRAME_VERSION}"
            )
        body = data[VERSION_BYTES + SIGNATURE_BYTES :]
        signature = data[VERSION_BYTES : VERSION_BYTES + SIGNATURE_BYTES]
        if not hmac.compare_digest(signature, self._sign(version, body)):
            raise AuthError("frame signature does not match the shared key")
        try:
            return self.decoder.decode(body)
        except msgspec.MsgspecError as err:
            raise FrameError(f"frame is malformed: {err}") from err

    def _sign(self, version: bytes, body: bytes) -> bytes:
        return hmac.digest(self.key, version + body, "sha256")
