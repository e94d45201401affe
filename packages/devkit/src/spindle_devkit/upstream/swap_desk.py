"""Exchanges the answers of two concurrent requests."""

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from spindle_devkit.upstream import const
from spindle_devkit.upstream.answer import Answer


class SwapDesk:
    """Holds one answer until a second comes, then gives each request the other's.

    An answer that finds no partner in time goes to its own request.
    """

    def __init__(self) -> None:
        self.waiting: tuple[Answer, AsyncResult] | None = None

    def exchange(self, answer: Answer) -> Answer:
        """Return the partner's answer, or the given one when there is no partner."""
        if self.waiting is not None:
            other, result = self.waiting
            self.waiting = None
            result.set(answer)
            return other
        result = AsyncResult()
        self.waiting = (answer, result)
        try:
            swapped: Answer = result.get(timeout=const.SWAP_WAIT_S)
        except Timeout:
            self.waiting = None
            return answer
        return swapped
