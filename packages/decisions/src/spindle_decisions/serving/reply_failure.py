"""Classification of an upstream's answer as a success or a kind of failure."""

from spindle_decisions.serving.failure_kind import FailureKind

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


def classify_failure(
    status: int, sent_id: str, echoed_id: str, not_run: bool, draining: bool
) -> FailureKind | None:
    """Return `None` for a good answer, else the kind of failure.

    An answer with another request id belongs to another request and says nothing
    about this one, so it is `BROKEN`. The request counts as not run only if the
    upstream states so explicitly (`not_run`).
    """
    if echoed_id != sent_id and (echoed_id or status == STATUS_OK):
        return FailureKind.BROKEN
    if status == STATUS_OK:
        return None
    if not not_run:
        return FailureKind.BROKEN
    if status == STATUS_CONFLICT:
        return FailureKind.SNAPSHOT_GONE
    if status == STATUS_TIMEOUT:
        return FailureKind.TOO_LATE
    if status == STATUS_UNAVAILABLE:
        return FailureKind.DRAINING if draining else FailureKind.SHED
    return FailureKind.REJECTED
