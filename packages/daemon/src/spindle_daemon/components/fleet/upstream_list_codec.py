"""Codec of the messages that carry the list of upstreams."""

import zlib

import msgspec

from spindle_daemon.components.fleet.const import COMPRESSION_LEVEL
from spindle_decisions.exceptions import FrameError
from spindle_decisions.routing.listed_upstream import ListedUpstream
from spindle_decisions.routing.upstream_list import UpstreamList
from spindle_decisions.wire.list_push import ListPush

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[ListedUpstream, ...])


def encode_upstream_list(upstream_list: UpstreamList, age_ms: int) -> ListPush:
    """Return the message for a list that was read `age_ms` ago."""
    data = zlib.compress(_ENCODER.encode(upstream_list.upstreams), COMPRESSION_LEVEL)
    return ListPush(upstream_list.digest, age_ms, data)


def decode_upstream_list(push: ListPush) -> UpstreamList:
    """Return the list of a message; raise `FrameError` if it is malformed."""
    try:
        upstreams = _DECODER.decode(zlib.decompress(push.upstreams))
    except (zlib.error, msgspec.MsgspecError) as err:
        raise FrameError(f"list of upstreams is malformed: {err}") from err
    return UpstreamList(push.digest, upstreams)
