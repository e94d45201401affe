"""Detection of unreachable data centres."""

from spindle_decisions.routing import const


class DataCenterReachability:
    """Detects unreachable data centres from the connections to single upstreams.

    A data centre counts as unreachable once `MIN_UNREACHABLE_UPSTREAMS` of its
    upstreams failed without a success in between. It is avoided for
    `UNREACHABLE_HOLD_S` and then tried again. One more failure is enough to avoid it
    again, so that few requests are spent on finding out.
    """

    def __init__(self) -> None:
        self.failed_upstreams: dict[str, set[str]] = {}
        self.unreachable_until: dict[str, float] = {}

    def record_success(self, data_center: str) -> None:
        """Record that an upstream of the data centre answered."""
        self.failed_upstreams.pop(data_center, None)
        self.unreachable_until.pop(data_center, None)

    def record_connect_failure(self, data_center: str, upstream_id: str, now: float) -> None:
        """Record that an upstream of the data centre could not be reached."""
        upstream_ids = self.failed_upstreams.setdefault(data_center, set())
        upstream_ids.add(upstream_id)
        if len(upstream_ids) >= const.MIN_UNREACHABLE_UPSTREAMS:
            self.unreachable_until[data_center] = now + const.UNREACHABLE_HOLD_S

    def all_unreachable(self, data_centers: set[str], now: float) -> bool:
        """Return whether all the data centres are unreachable; false for an empty set."""
        return bool(data_centers) and all(self.is_unreachable(name, now) for name in data_centers)

    def unreachable_data_centers(self, now: float) -> list[str]:
        """Return the names of the unreachable data centres, sorted."""
        return sorted(name for name in self.unreachable_until if self.is_unreachable(name, now))

    def is_unreachable(self, data_center: str, now: float) -> bool:
        """Return whether the data centre is to be avoided."""
        return now < self.unreachable_until.get(data_center, 0.0)
