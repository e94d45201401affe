"""Selects the control instance that an entry instance is attached to."""

import dataclasses

from spindle_daemon.components.control_link.const import (
    ACK_TIMEOUT_S,
    FAILBACK_DELAY_S,
    RECENT_CONTACT_S,
)
from spindle_daemon.settings.instance_address import InstanceAddress
from spindle_decisions.wire.heartbeat_ack import HeartbeatAck


@dataclasses.dataclass(frozen=True)
class ControlPeer:
    """The last known state of a control instance; `last_seen_at` in monotonic seconds."""

    address: InstanceAddress
    data_center: str = ""
    stale: bool = False
    last_seen_at: float | None = None


class ControlSelector:
    """Selects a control instance: fresh before stale, then local before remote.

    The current one is kept while it answers and is not stale. The selection fails
    back to the local data centre only after its control instance has been fresh for
    `FAILBACK_DELAY_S`, so that a flapping link does not cause repeated switches.
    """

    def __init__(
        self, addresses: tuple[InstanceAddress, ...], data_center: str, now: float, first_index: int
    ) -> None:
        self.data_center = data_center
        self.peers = {item.name: ControlPeer(item) for item in addresses}
        self.current = addresses[first_index % len(addresses)]
        self.selected_at = now
        self.local_fresh_since: float | None = None

    def on_ack(self, now: float, ack: HeartbeatAck) -> None:
        """Update the state of the control instance that answered a heartbeat."""
        peer = self.peers.get(ack.control)
        if peer is None:
            return
        self.peers[ack.control] = dataclasses.replace(
            peer, data_center=ack.data_center, stale=ack.stale, last_seen_at=now
        )

    def reselect(self, now: float) -> bool:
        """Select again; return true if the selection changed."""
        if not self._is_usable(now, self.peers[self.current.name]):
            return self._switch(now)
        return self._fail_back(now)

    def is_suspect(self, now: float) -> bool:
        """Return whether the current one is unresponsive or stale, so others have to be asked."""
        peer = self.peers[self.current.name]
        return peer.stale or self._is_unresponsive(now, peer)

    def select_local_at_start(self, now: float) -> None:
        """At startup, switch from a remote control instance to a fresh local one."""
        local = self.local_alternative()
        if local is not None and self._is_fresh(now, self.peers[local.name]):
            self._select(now, local)

    def local_alternative(self) -> InstanceAddress | None:
        """Return a local control instance while a remote one is selected, otherwise `None`."""
        if self.peers[self.current.name].data_center == self.data_center:
            return None
        local = [peer for peer in self.peers.values() if peer.data_center == self.data_center]
        return local[0].address if local else None

    def _is_usable(self, now: float, peer: ControlPeer) -> bool:
        return not peer.stale and not self._is_unresponsive(now, peer)

    def _is_unresponsive(self, now: float, peer: ControlPeer) -> bool:
        last_contact_at = (
            self.selected_at
            if peer.last_seen_at is None
            else max(peer.last_seen_at, self.selected_at)
        )
        return now - last_contact_at > ACK_TIMEOUT_S

    def _has_recent_contact(self, now: float, peer: ControlPeer) -> bool:
        return peer.last_seen_at is not None and now - peer.last_seen_at <= RECENT_CONTACT_S

    def _switch(self, now: float) -> bool:
        fresh = [
            peer
            for peer in self.peers.values()
            if self._is_fresh(now, peer) and peer.address != self.current
        ]
        if not fresh:
            return False
        best = min(fresh, key=self._preference)
        self._select(now, best.address)
        return True

    def _fail_back(self, now: float) -> bool:
        local = self.local_alternative()
        if local is None or not self._is_fresh(now, self.peers[local.name]):
            self.local_fresh_since = None
            return False
        if self.local_fresh_since is None:
            self.local_fresh_since = now
        if now - self.local_fresh_since < FAILBACK_DELAY_S:
            return False
        self._select(now, local)
        return True

    def _is_fresh(self, now: float, peer: ControlPeer) -> bool:
        return self._has_recent_contact(now, peer) and not peer.stale

    def _preference(self, peer: ControlPeer) -> tuple[bool, str]:
        return (peer.data_center != self.data_center, peer.address.name)

    def _select(self, now: float, address: InstanceAddress) -> None:
        self.current = address
        self.selected_at = now
        self.local_fresh_since = None
