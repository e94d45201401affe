"""The counts of one entry instance in one minute, and their encoding."""

import msgspec

from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.span import Span
from spindle_decisions.exceptions import FrameError

MS_PER_MINUTE = 60_000
MAX_SUMMARY_BYTES = 256 * 1024


class MinuteSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """The counts of all groups at one incarnation of an entry instance in one minute.

    `minute` is Unix time in minutes. Instance, incarnation and minute identify
    a summary; of several with the same identity only the one with the highest
    `revision` is valid. `started_ms` is the wall time at which the incarnation
    began to count, and `spans` are the wall times for which the counts of the
    minute are complete. `final` is set when the minute is over, `last` when the
    instance shut down gracefully and no summary follows.
    """

    instance: str
    incarnation: int
    data_center: str
    minute: int
    revision: int
    started_ms: int = 0
    spans: tuple[Span, ...] = ()
    final: bool = False
    last: bool = False
    groups: tuple[GroupSummary, ...] = ()

    def in_flight(self) -> int:
        """Return the number of requests in flight, summed over all groups."""
        return sum(group.in_flight for group in self.groups)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MinuteSummary)


def encode_summary(summary: MinuteSummary) -> bytes:
    """Encode a summary for transport to a control instance and for its disk.

    A summary over `MAX_SUMMARY_BYTES` is encoded without the names of missing
    services, only with their number.
    """
    data = _ENCODER.encode(summary)
    if len(data) <= MAX_SUMMARY_BYTES:
        return data
    groups = tuple(group.without_names() for group in summary.groups)
    return _ENCODER.encode(msgspec.structs.replace(summary, groups=groups))


def decode_summary(data: bytes) -> MinuteSummary:
    """Decode a summary; raise `FrameError` if it is malformed or over `MAX_SUMMARY_BYTES`."""
    if len(data) > MAX_SUMMARY_BYTES:
        raise FrameError(
            f"minute summary of {len(data)} bytes exceeds the limit of {MAX_SUMMARY_BYTES} bytes"
        )
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as err:
        raise FrameError(f"minute summary is malformed: {err}") from err
