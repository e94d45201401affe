"""Responses to scatter-gather requests."""

from collections.abc import Iterable

from spindle_daemon.components.routed.routed_response import RoutedResponse
from spindle_daemon.core.platform_adapter import HeaderNames
from spindle_decisions.exceptions import DeadlineExceededError, PartsFailedError, RefusalError


def create_gather_refusal(reason: str) -> RefusalError:
    """Return the refusal for a gather that ended with too few parts for this reason."""
    if reason == "deadline":
        return DeadlineExceededError("too few shards answered in time")
    if reason == "silent":
        return PartsFailedError("owners of too many shards did not respond")
    return PartsFailedError("too few shards answered")


def create_gather_response(
    header_names: HeaderNames,
    request_id: str,
    signatures: Iterable[str],
    missing_count: int,
    records: bytes,
) -> RoutedResponse:
    """Return a success with the signatures of its parts and the number of missing shards."""
    headers = (
        (header_names.part_signatures, ", ".join(signatures)),
        (header_names.missing_parts, str(missing_count)),
        (header_names.request_id, request_id),
    )
    return RoutedResponse(200, "OK", headers, records)
