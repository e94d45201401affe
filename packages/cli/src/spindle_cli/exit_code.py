"""The exit codes of the command line."""

import enum

from spindle_decisions.exceptions import (
    AnswerLostError,
    BadRequestError,
    NoQuorumError,
    NotLeaderError,
    NotRunError,
    OutcomeUnknownError,
    SettingsError,
    SpindleError,
    UnreachableError,
)


class ExitCode(enum.IntEnum):
    """Exit codes, stable across releases because scripts rely on them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    OUTCOME_UNKNOWN = 4


_EXIT_CODE_BY_ERROR_CODE = {
    BadRequestError.code: ExitCode.USAGE,
    SettingsError.code: ExitCode.USAGE,
    UnreachableError.code: ExitCode.UNREACHABLE,
    NoQuorumError.code: ExitCode.UNREACHABLE,
    NotLeaderError.code: ExitCode.UNREACHABLE,
    NotRunError.code: ExitCode.UNREACHABLE,
    AnswerLostError.code: ExitCode.OUTCOME_UNKNOWN,
    OutcomeUnknownError.code: ExitCode.OUTCOME_UNKNOWN,
}


def exit_code_for(error: SpindleError) -> ExitCode:
    """Return the exit code for an error, `REFUSED` for a code that is not listed."""
    return _EXIT_CODE_BY_ERROR_CODE.get(error.code, ExitCode.REFUSED)
