"""Selection of the control instances that an entry instance sends heartbeats to."""

import math
import zlib
from collections.abc import Mapping

from spindle_decisions.fleet import const
from spindle_decisions.fleet.fleet_table import FleetTable
from spindle_decisions.wire.fleet_instance import FleetInstance


def choose_heartbeat_targets(
    now: float,
    sender: FleetInstance,
    table: FleetTable,
    seeds: tuple[str, ...],
    primary: str,
    responded_at: Mapping[str, float],
) -> list[str]:
    """Return the addresses that get heartbeats; the first is the new primary.

    The primary pushes updates to the entry instance. Responsive instances rank first,
    those of the local data centre before others. The current `primary` gets every
    heartbeat and so must respond within a shorter time. If there are
    unresponsive instances, at least one is included, so that a recovery is detected.
    """
    controls = table.recently_seen(now, const.ROLE_CONTROL, const.EXPIRE_AFTER_S)
    local = {item.address for item in controls if item.data_center == sender.data_center}
    addresses = sorted({item.address for item in controls} | set(seeds))

    def is_responsive(address: str) -> bool:
        timeout_s = (
            const.RECONNECT_TIMEOUT_S if address == primary else const.RECONNECT_SECONDARY_TIMEOUT_S
        )
        return now - responded_at.get(address, -math.inf) <= timeout_s

    def rank_key(address: str) -> tuple[bool, bool, int]:
        tie_breaker = zlib.crc32(f"{sender.name} {address}".encode())
        return (not is_responsive(address), address not in local, tie_breaker)

    ranked = sorted(addresses, key=rank_key)
    unresponsive = [address for address in ranked if not is_responsive(address)]
    chosen = ranked[: const.HEARTBEAT_TARGETS]
    if unresponsive and unresponsive[0] not in chosen:
        chosen.append(unresponsive[int(now) % len(unresponsive)])
    return chosen
