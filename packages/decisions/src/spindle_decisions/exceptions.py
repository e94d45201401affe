"""The exception hierarchy; every error has a stable code for callers, operators and logs."""

# Error texts are bounded because they quote input of any size.
MAX_TEXT_CHARS = 400
# Characters kept at the start and the end of a longer text; a marker replaces the middle.
TRUNCATED_HEAD_CHARS = 270
TRUNCATED_TAIL_CHARS = 80


class SpindleError(Exception):
    """Base of all errors of the system.

    `code` is stable across releases and appears in HTTP answers, in logs and in
    the output of the command line. `http_status` is the status with which an HTTP
    endpoint answers. The text is at most `MAX_TEXT_CHARS` long.
    """

    code = "internal"
    http_status = 500

    def __str__(self) -> str:
        """Return the text, truncated in the middle if it is too long."""
        return truncate_text(super().__str__())


class SettingsError(SpindleError):
    """A settings file is invalid; the text names section, key, value and what is allowed."""

    code = "settings-invalid"
    http_status = 400


class NoteError(SpindleError):
    """A release note is invalid or refused."""

    code = "note-invalid"
    http_status = 422


class NoteConflictError(NoteError):
    """Another note already has this number; the text names the digest of that note."""

    code = "note-number-taken"
    http_status = 409


class PlanError(SpindleError):
    """A routing plan is malformed or cannot be put in force; nothing changed."""

    code = "plan-invalid"
    http_status = 400


class RefusalError(SpindleError):
    """Base of the errors with which the request of a caller is refused."""

    code = "refused"
    http_status = 503


class BadRequestError(RefusalError):
    """The request is malformed; nothing ran."""

    code = "bad-request"
    http_status = 400


class UnknownGroupError(RefusalError):
    """The catalog holds no such group or service; nothing ran."""

    code = "unknown-group"
    http_status = 404


class UnknownRouteError(RefusalError):
    """The plan in force has no route for the request; nothing ran."""

    code = "unknown-route"
    http_status = 404


class NoPlanError(RefusalError):
    """This instance has not received a plan yet; nothing ran."""

    code = "no-plan"
    http_status = 503


class PartsFailedError(RefusalError):
    """Too few shards answered; some of them may have run the request."""

    code = "parts-failed"
    http_status = 502


class DeadlineExceededError(RefusalError):
    """The deadline passed before an answer with enough coverage was complete."""

    code = "deadline-exceeded"
    http_status = 504


class CoverageBelowMinimumError(RefusalError):
    """The answer covers fewer services than the caller asked for."""

    code = "coverage-below-minimum"
    http_status = 503


class OverloadedError(RefusalError):
    """The tier refuses new requests to protect the upstreams; nothing ran.

    `retry_after_s` is the time after which an upstream takes requests again, if it is known.
    """

    code = "overloaded"
    http_status = 503

    def __init__(self, text: str, retry_after_s: float = 0.0) -> None:
        super().__init__(text)
        self.retry_after_s = retry_after_s


class QuarantinedError(RefusalError):
    """The request crashed upstreams when it was sent before; this time nothing ran.

    `retry_after_s` is the time after which it may be tried again.
    """

    code = "quarantined"
    http_status = 503

    def __init__(self, text: str, retry_after_s: float) -> None:
        super().__init__(text)
        self.retry_after_s = retry_after_s


class LeavingError(RefusalError):
    """This instance is shutting down and accepts no new requests; nothing ran."""

    code = "leaving"
    http_status = 503


class NotRunError(RefusalError):
    """The request did not run anywhere."""

    code = "not-run"
    http_status = 503


class OutcomeUnknownError(RefusalError):
    """The request may have run; its outcome is unknown."""

    code = "outcome-unknown"
    http_status = 502


class IdExpiredError(RefusalError):
    """The request id is older than the retention of ids; this attempt ran nothing."""

    code = "id-expired"
    http_status = 410


class ControlError(SpindleError):
    """A control operation failed."""

    code = "control"
    http_status = 503


class NotLeaderError(ControlError):
    """This control instance is not the leader; `leader` names the leader, if known."""

    code = "not-leader"
    http_status = 421

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"this control instance is not the leader; leader: {leader or 'unknown'}")
        self.leader = leader


class NoQuorumError(ControlError):
    """No majority of control instances answered in time."""

    code = "no-quorum"


class MembershipChangeError(ControlError):
    """A change of the control membership is refused."""

    code = "membership-change-refused"
    http_status = 409


class StorageError(SpindleError):
    """The data folder cannot be used."""

    code = "storage"


class StorageDamagedError(StorageError):
    """A file of the data folder is corrupt beyond an incomplete last record."""

    code = "storage-damaged"


class StorageLockedError(StorageError):
    """Another process has locked the data folder."""

    code = "storage-locked"


class SyncFailedError(StorageError):
    """A sync to disk failed; the process must stop."""

    code = "sync-failed"


class FrameError(SpindleError):
    """A frame between processes is malformed, oversized or of an unknown version."""

    code = "frame-invalid"
    http_status = 400


class AuthError(FrameError):
    """The signature of a frame or of an operator request is missing or wrong."""

    code = "auth-failed"
    http_status = 401


class UnreachableError(ControlError):
    """No process could be reached; no process received the request."""

    code = "unreachable"


class UpstreamListError(ControlError):
    """The platform's list of upstreams could not be read in full."""

    code = "upstream-list"


class AnswerLostError(ControlError):
    """A request was sent, but no readable answer arrived; it may have taken effect."""

    code = "answer-lost"


class RemoteError(SpindleError):
    """Another process answered with an error; `code` and `http_status` are from its answer.

    `winner_digest` is the digest of the note that already has the number, if that
    is the error, and empty otherwise.
    """

    def __init__(self, code: str, text: str, http_status: int, winner_digest: str = "") -> None:
        super().__init__(text)
        self.code = code
        self.http_status = http_status
        self.winner_digest = winner_digest


def truncate_text(text: str) -> str:
    """Return the text, cut in the middle to at most `MAX_TEXT_CHARS`.

    A marker in place of the middle says how many characters were left out.
    """
    if len(text) <= MAX_TEXT_CHARS:
        return text
    left_out = len(text) - TRUNCATED_HEAD_CHARS - TRUNCATED_TAIL_CHARS
    marker = f" ... {left_out} characters left out ... "
    return text[:TRUNCATED_HEAD_CHARS] + marker + text[-TRUNCATED_TAIL_CHARS:]
