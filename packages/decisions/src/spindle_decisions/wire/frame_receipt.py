"""Acknowledgement of frames to a process to which nothing else is to be sent."""

import msgspec


class FrameReceipt(msgspec.Struct, frozen=True, tag="frame-receipt"):
    """Has no content: every frame contains an acknowledgement."""
