"""Exchanges the answers of two concurrent requests."""

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from spindle_devkit.upstream import const
from spindle_devkit.upstream.upstream_response import UpstreamResponse


class ResponseSwapper:
    """Holds one answer until a second comes, then gives each request the other's.

    An answer that finds no partner in time goes to its own request.
    """

    def __init__(self) -> None:
        self.first: tuple[UpstreamResponse, AsyncResult] | None = None

    def exchange(self, response: UpstreamResponse) -> UpstreamResponse:
        """Return the partner's answer, or the given one when there is no partner."""
        if self.first is not None:
            other, result = self.first
            self.first = None
            result.set(response)
            return other
        result = AsyncResult()
        self.first = (response, result)
        try:
            swapped: UpstreamResponse = result.get(timeout=const.SWAP_TIMEOUT_S)
        except Timeout:
            self.first = None
            return response
        return swapped
