"""The answer to a gathered request."""

from collections.abc import Iterable

from spindle_daemon.components.routed.routed_answer import RoutedAnswer
from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_decisions.exceptions import DeadlineExceededError, PartsFailedError, RefusalError


def gather_refusal(reason: str) -> RefusalError:
    """Return the refusal of a gather that ended for this reason without enough parts."""
    if reason == "deadline":
        return DeadlineExceededError("too few shards answered in time")
    return PartsFailedError("too few shards answered")


def gathered_answer(
    names: HeaderNames, request_id: str, signatures: Iterable[str], missing: int, records: bytes
) -> RoutedAnswer:
    """Return a success that names its parts and says how many shards are missing."""
    headers = (
        (names.part_signatures, ", ".join(signatures)),
        (names.missing_parts, str(missing)),
        (names.request_id, request_id),
    )
    return RoutedAnswer(200, "OK", headers, records)
