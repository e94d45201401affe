"""The slots of one upstream and the queue of requests that wait for them."""

from collections import deque

from spindle_devkit.upstream.queued_request import QueuedRequest


class SlotQueue:
    """Grants a fixed number of slots in order of arrival."""

    def __init__(self, slots: int, max_queued: int) -> None:
        self.slots = slots
        self.max_queued = max_queued
        self.running = 0
        self.queue: deque[QueuedRequest] = deque()

    @property
    def inflight(self) -> int:
        """Return the number of requests that run or are queued."""
        return self.running + len(self.queue)

    def submit(self, request: QueuedRequest) -> bool:
        """Grant a slot or queue the request; return false if the queue is full."""
        if self.running < self.slots:
            self.running += 1
            request.grant()
            return True
        if len(self.queue) >= self.max_queued:
            return False
        self.queue.append(request)
        return True

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from the queue."""
        self.queue.remove(request)

    def release(self) -> None:
        """Release a slot and grant it to the next request in the queue."""
        self.running -= 1
        if self.queue:
            self.running += 1
            self.queue.popleft().grant()
