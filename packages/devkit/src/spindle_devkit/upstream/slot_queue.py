"""The slots of one upstream and the queue before them."""

from collections import deque

from spindle_devkit.upstream.work import Work


class SlotQueue:
    """Grants a fixed number of slots in order of arrival."""

    def __init__(self, slots: int, bound: int) -> None:
        self.slots = slots
        self.bound = bound
        self.running = 0
        self.queue: deque[Work] = deque()

    @property
    def inflight(self) -> int:
        """Return how many requests run or wait."""
        return self.running + len(self.queue)

    def offer(self, work: Work) -> bool:
        """Grant a slot or queue the request; return false when the queue is full."""
        if self.running < self.slots:
            self.running += 1
            work.grant()
            return True
        if len(self.queue) >= self.bound:
            return False
        self.queue.append(work)
        return True

    def abandon(self, work: Work) -> None:
        """Take a request out of the queue."""
        self.queue.remove(work)

    def release(self) -> None:
        """Hand a freed slot to the next request in the queue."""
        self.running -= 1
        if self.queue:
            self.running += 1
            self.queue.popleft().grant()
