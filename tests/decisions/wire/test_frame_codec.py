"""Tests of the signed frames between processes."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from spindle_decisions.exceptions import AuthError, FrameError
from spindle_decisions.timeline.hlc_stamp import HlcStamp
from spindle_decisions.wire.frame import Frame
from spindle_decisions.wire.frame_codec import MAX_FRAME_BYTES, FrameCodec
from spindle_decisions.wire.leave import Leave

CODEC = FrameCodec(b"0123456789abcdef")
FRAME = Frame("entry-1", HlcStamp(5, 0), Leave("entry-1", 7))
DATA = CODEC.encode(FRAME)


class TestFrameCodec(unittest.TestCase):
    def test_round_trip(self) -> None:
        self.assertEqual(CODEC.decode(DATA), FRAME)

    @params(
        (b"", FrameError),
        (b"\x01short", FrameError),
        (b"\x02" + DATA[1:], FrameError),
        (DATA[:-1] + bytes([DATA[-1] ^ 1]), AuthError),
        (DATA + b"x", AuthError),
        (FrameCodec(b"another key 0123456789").encode(FRAME), AuthError),
        (b"\x01" * (MAX_FRAME_BYTES + 1), FrameError),
    )
    def test_bad_frames_are_refused(self, data: bytes, error: type[FrameError]) -> None:
        with self.assertRaises(error):
            CODEC.decode(data)

    @settings(derandomize=True, database=None, deadline=None)
    @given(st.binary(max_size=200))
    def test_signed_garbage_is_refused(self, body: bytes) -> None:
        data = b"\x01" + CODEC._sign(b"\x01", body) + body
        with self.assertRaises(FrameError):
            CODEC.decode(data)
