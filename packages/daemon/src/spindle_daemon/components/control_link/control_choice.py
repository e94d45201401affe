"""The choice of the control instance that an entry instance listens to."""

import dataclasses

from spindle_daemon.components.control_link.const import ACK_TIMEOUT_S, HEARD_LATELY_S, MOVE_BACK_S
from spindle_daemon.settings.instance_address import InstanceAddress
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck


@dataclasses.dataclass(frozen=True)
class ControlView:
    """What was last heard of one control instance, in monotonic seconds."""

    address: InstanceAddress
    data_center: str = ""
    stale: bool = False
    heard_at: float | None = None


class ControlChoice:
    """Picks a control instance: fresh before stale, near before far, steady before new.

    The current choice is kept while it answers and is not stale. A better one
    in the own data centre is taken back only after it has been fresh for
    `MOVE_BACK_S`, so that a flapping link does not move an instance to and fro.
    """

    def __init__(
        self, addresses: tuple[InstanceAddress, ...], data_center: str, now: float, first: int
    ) -> None:
        self.data_center = data_center
        self.views = {item.name: ControlView(item) for item in addresses}
        self.current = addresses[first % len(addresses)]
        self.chosen_at = now
        self.near_since: float | None = None

    def acked(self, now: float, ack: HeartbeatAck) -> None:
        """Take in an answer."""
        view = self.views.get(ack.control)
        if view is None:
            return
        self.views[ack.control] = dataclasses.replace(
            view, data_center=ack.data_center, stale=ack.stale, heard_at=now
        )

    def decide(self, now: float) -> bool:
        """Choose again; return true when the choice moved to another control instance."""
        if not self._usable(now, self.views[self.current.name]):
            return self._move(now)
        return self._move_back(now)

    def doubtful(self, now: float) -> bool:
        """Tell whether the current choice is silent or stale, so that others should be asked."""
        view = self.views[self.current.name]
        return view.stale or self._silent(now, view)

    def settle(self, now: float) -> None:
        """Go to the own data centre at the start, when its control instance is fresh."""
        near = self.near_other()
        if near is not None and self._steady(now, self.views[near.name]):
            self._take(now, near)

    def near_other(self) -> InstanceAddress | None:
        """Return a control instance of the own data centre while a far one is chosen."""
        if self.views[self.current.name].data_center == self.data_center:
            return None
        near = [view for view in self.views.values() if view.data_center == self.data_center]
        return near[0].address if near else None

    def _usable(self, now: float, view: ControlView) -> bool:
        return not view.stale and not self._silent(now, view)

    def _silent(self, now: float, view: ControlView) -> bool:
        last = self.chosen_at if view.heard_at is None else max(view.heard_at, self.chosen_at)
        return now - last > ACK_TIMEOUT_S

    def _heard(self, now: float, view: ControlView) -> bool:
        return view.heard_at is not None and now - view.heard_at <= HEARD_LATELY_S

    def _move(self, now: float) -> bool:
        fresh = [
            view
            for view in self.views.values()
            if self._steady(now, view) and view.address != self.current
        ]
        if not fresh:
            return False
        best = min(fresh, key=self._distance)
        self._take(now, best.address)
        return True

    def _move_back(self, now: float) -> bool:
        near = self.near_other()
        if near is None or not self._steady(now, self.views[near.name]):
            self.near_since = None
            return False
        if self.near_since is None:
            self.near_since = now
        if now - self.near_since < MOVE_BACK_S:
            return False
        self._take(now, near)
        return True

    def _steady(self, now: float, view: ControlView) -> bool:
        return self._heard(now, view) and not view.stale

    def _distance(self, view: ControlView) -> tuple[bool, str]:
        return (view.data_center != self.data_center, view.address.name)

    def _take(self, now: float, address: InstanceAddress) -> None:
        self.current = address
        self.chosen_at = now
        self.near_since = None
