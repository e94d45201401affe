"""What an upstream's answer means."""

import enum

from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.core.platform_adapter import HeaderNames

STATUS_MISDIRECTED = 421


class ReplyMeaning(enum.Enum):
    """Whether the upstream ran the request and whether its answer may be used."""

    GOOD = "good"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    MISPLACED = "misplaced"
    FOREIGN = "foreign"


def judge_reply(reply: RawReply, request_id: str, names: HeaderNames) -> ReplyMeaning:
    """Return what an answer to the request of that id means.

    An answer that names another request, or success without a signature, belongs to
    nobody here.
    """
    echoed = reply.values.get(names.request_id)
    if echoed is not None and echoed != request_id:
        return ReplyMeaning.FOREIGN
    if reply.status == STATUS_MISDIRECTED:
        return ReplyMeaning.MISPLACED
    if names.not_run in reply.values:
        return ReplyMeaning.NOT_RUN
    if not 200 <= reply.status < 300:
        return ReplyMeaning.FAILURE
    if echoed is None or names.signature not in reply.values:
        return ReplyMeaning.FOREIGN
    return ReplyMeaning.GOOD


def reported_load(reply: RawReply, names: HeaderNames) -> tuple[int, int] | None:
    """Return the running and waiting requests that an answer reports, if it does."""
    fields = reply.values.get(names.load, "").split(",")
    if len(fields) < 2 or not all(field.strip().isdecimal() for field in fields[:2]):
        return None
    return int(fields[0]), int(fields[1])
