"""What an upstream's answer means."""

import enum

from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.core.dialect import HeaderNames

STATUS_MISDIRECTED = 421


class ReplyClass(enum.Enum):
    """Whether the upstream ran the request and whether its answer may be used."""

    GOOD = "good"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    MISPLACED = "misplaced"
    FOREIGN = "foreign"


def classify_reply(reply: RawReply, request_id: str, header_names: HeaderNames) -> ReplyClass:
    """Return what an answer to the request of that id means.

    An answer that names another request, or success without a signature, belongs to
    nobody here.
    """
    echoed = reply.header_values.get(header_names.request_id)
    if echoed is not None and echoed != request_id:
        return ReplyClass.FOREIGN
    if reply.status == STATUS_MISDIRECTED:
        return ReplyClass.MISPLACED
    if header_names.not_run in reply.header_values:
        return ReplyClass.NOT_RUN
    if not 200 <= reply.status < 300:
        return ReplyClass.FAILURE
    if echoed is None or header_names.signature not in reply.header_values:
        return ReplyClass.FOREIGN
    return ReplyClass.GOOD


def reported_load(reply: RawReply, header_names: HeaderNames) -> tuple[int, int] | None:
    """Return the running and waiting requests that an answer reports, if it does."""
    fields = reply.header_values.get(header_names.load, "").split(",")
    if len(fields) < 2 or not all(field.strip().isdecimal() for field in fields[:2]):
        return None
    return int(fields[0]), int(fields[1])
