"""Classification of an upstream's answer."""

import enum
import math

from spindle_daemon.components.routed.raw_reply import RawReply
from spindle_daemon.core.platform_adapter import HeaderNames

STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
FLAG_SET = "1"
# A longer rest is taken for this one: nobody would notice that the value is wrong.
MAX_REST_S = 3_600.0


class ReplyClass(enum.Enum):
    """Says whether the upstream ran the request and whether its answer may be used."""

    GOOD = "good"
    FAILURE = "failure"
    NOT_RUN = "not-run"
    MISPLACED = "misplaced"
    FOREIGN = "foreign"


def classify_reply(reply: RawReply, request_id: str, header_names: HeaderNames) -> ReplyClass:
    """Return the class of an answer to the request with that id.

    An answer without the id of this request is `FOREIGN`, whatever its status: it may be
    a late copy of the answer to an earlier request on the connection, and then it is no
    proof that this one did not run. So is a success without a signature. `MISPLACED`
    means that another upstream is now at the address.
    """
    if not is_own_reply(reply, request_id, header_names):
        return ReplyClass.FOREIGN
    if reply.status == STATUS_MISDIRECTED:
        return ReplyClass.MISPLACED
    if header_names.not_run in reply.header_values:
        return ReplyClass.NOT_RUN
    if not 200 <= reply.status < 300:
        return ReplyClass.FAILURE
    if header_names.signature not in reply.header_values:
        return ReplyClass.FOREIGN
    return ReplyClass.GOOD


def is_own_reply(reply: RawReply, request_id: str, header_names: HeaderNames) -> bool:
    """Return whether an answer echoes the id of the request.

    A request whose caller gave no id cannot be told apart; its answer must have none.
    """
    return reply.header_values.get(header_names.request_id, "") == request_id


def reported_load(reply: RawReply, header_names: HeaderNames) -> tuple[int, int] | None:
    """Return the numbers of running and waiting requests that an answer reports, if any."""
    fields = reply.header_values.get(header_names.load, "").split(",")
    if len(fields) < 2 or not all(field.strip().isdecimal() for field in fields[:2]):
        return None
    return int(fields[0]), int(fields[1])


def named_rate_limit(
    reply: RawReply, header_names: HeaderNames, current: float | None
) -> float | None:
    """Return the requests per second to which an answer limits all instances together.

    Returns `None` if it names no limit, and `current` if what it names is no finite number
    of at least 0.
    """
    text = reply.header_values.get(header_names.rate_limit)
    if text is None:
        return None
    try:
        per_s = float(text)
    except ValueError:
        return current
    return per_s if math.isfinite(per_s) and per_s >= 0 else current


def says_leaving(reply: RawReply, header_names: HeaderNames) -> bool:
    """Return whether an answer says that its upstream is about to stop."""
    return reply.header_values.get(header_names.leaving, "").strip() == FLAG_SET


def requested_rest_s(reply: RawReply, header_names: HeaderNames) -> float:
    """Return for how many seconds an upstream asks for no requests, 0 if it does not ask.

    Only a refusal with 503 may ask. What is no positive number of seconds, such as a date,
    asks for nothing; of several values the longest counts.
    """
    if reply.status != STATUS_UNAVAILABLE:
        return 0.0
    name = header_names.retry_after.lower()
    values = [value for key, value in reply.headers if key.lower() == name]
    return max(map(_seconds, values), default=0.0)


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return min(seconds, MAX_REST_S) if seconds > 0.0 else 0.0
