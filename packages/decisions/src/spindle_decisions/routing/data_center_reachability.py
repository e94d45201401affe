"""Data centres that cannot be reached from here."""

from spindle_decisions.routing import const


class DataCenterReachability:
    """Notices from single connections that a whole data centre is cut off.

    A data centre is dark once several of its upstreams in a row could not be reached
    and none answered since. It is left alone for a moment, then tried again, so that
    one request at a time pays for finding out.
    """

    def __init__(self) -> None:
        self.failed_upstreams: dict[str, set[str]] = {}
        self.unreachable_until: dict[str, float] = {}

    def record_success(self, data_center: str) -> None:
        """Take in that an upstream of the data centre answered."""
        self.failed_upstreams.pop(data_center, None)
        self.unreachable_until.pop(data_center, None)

    def record_connect_failure(self, data_center: str, upstream_id: str, now: float) -> None:
        """Take in that an upstream of the data centre could not be reached."""
        upstream_ids = self.failed_upstreams.setdefault(data_center, set())
        upstream_ids.add(upstream_id)
        if len(upstream_ids) >= const.MIN_UNREACHABLE_UPSTREAMS:
            self.unreachable_until[data_center] = now + const.UNREACHABLE_HOLD_S

    def all_unreachable(self, data_centers: set[str], now: float) -> bool:
        """Return whether there are data centres and none can be reached."""
        return bool(data_centers) and all(self.is_unreachable(name, now) for name in data_centers)

    def unreachable_data_centers(self, now: float) -> list[str]:
        """Return the data centres that are to be left alone."""
        return sorted(name for name in self.unreachable_until if self.is_unreachable(name, now))

    def is_unreachable(self, data_center: str, now: float) -> bool:
        """Return whether the data centre is to be left alone."""
        return now < self.unreachable_until.get(data_center, 0.0)
