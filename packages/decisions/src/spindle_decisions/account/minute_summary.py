"""What one entry instance counted in one minute."""

import msgspec

from spindle_decisions.account.group_summary import GroupSummary
from spindle_decisions.account.span import Span
from spindle_decisions.exceptions import FrameError

MS_PER_MINUTE = 60_000
MAX_SUMMARY_BYTES = 256 * 1024


class MinuteSummary(msgspec.Struct, frozen=True, omit_defaults=True):
    """One minute of one run of one entry instance.

    `minute` is Unix time in minutes. Instance, incarnation and minute identify
    a summary; of several with the same identity the highest `revision` holds
    and the others are void. `started_ms` is the wall time at which the run
    began to count, `spans` the wall time for which the counts of the minute are
    complete. `final` is set when the minute is over, `last` when the instance
    stopped as planned and nothing follows.
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
        """Return the requests of all groups that had not ended."""
        return sum(group.in_flight for group in self.groups)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(MinuteSummary)


def encode_summary(summary: MinuteSummary) -> bytes:
    """Encode a summary for the way to a control instance and for its disk.

    One that would be too large names no missing services, only their number.
    """
    data = _ENCODER.encode(summary)
    if len(data) <= MAX_SUMMARY_BYTES:
        return data
    groups = tuple(group.without_names() for group in summary.groups)
    return _ENCODER.encode(msgspec.structs.replace(summary, groups=groups))


def decode_summary(data: bytes) -> MinuteSummary:
    """Decode a summary; raise `FrameError` when it is malformed or too large."""
    if len(data) > MAX_SUMMARY_BYTES:
        raise FrameError(f"summary of {len(data)} bytes, allowed {MAX_SUMMARY_BYTES}")
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as err:
        raise FrameError(f"summary is malformed: {err}") from err
