"""Swaps the responses of two concurrent requests."""

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from spindle_devkit.upstream import const
from spindle_devkit.upstream.upstream_response import UpstreamResponse


class ResponseSwapper:
    """Holds a response until a second one arrives, then swaps the two.

    If no second response arrives within `SWAP_TIMEOUT_S`, the request gets its
    own response.
    """

    def __init__(self) -> None:
        self.first: tuple[UpstreamResponse, AsyncResult] | None = None

    def exchange(self, response: UpstreamResponse) -> UpstreamResponse:
        """Return the other request's response, or the given one after the timeout."""
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
