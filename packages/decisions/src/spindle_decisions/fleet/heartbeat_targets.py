"""Which control instances an entry instance beats to."""

import math
import zlib
from collections.abc import Mapping

from spindle_decisions.fleet import const
from spindle_decisions.fleet.fleet_table import FleetTable
from spindle_decisions.wire.fleet_instance import FleetInstance


def choose_heartbeat_targets(
    now: float,
    me: FleetInstance,
    table: FleetTable,
    seeds: tuple[str, ...],
    first: str,
    answered_at: Mapping[str, float],
) -> list[str]:
    """Return the addresses to beat to, the one that pushes news first.

    Those that answer come first, among them one of the own data centre, then those
    that others heard of. `first` got every beat so far and has to answer sooner. One
    place always goes to an instance that does not answer yet, so that a regained one
    is found.
    """
    known = table.lately(now, const.ROLE_CONTROL, const.EXPIRE_AFTER_S)
    near = {item.address for item in known if item.data_center == me.data_center}
    addresses = sorted({item.address for item in known} | set(seeds))

    def answers(address: str) -> bool:
        patience_s = (
            const.RECONNECT_TIMEOUT_S if address == first else const.RECONNECT_SECONDARY_TIMEOUT_S
        )
        return now - answered_at.get(address, -math.inf) <= patience_s

    def order(address: str) -> tuple[bool, bool, int]:
        spread = zlib.crc32(f"{me.name} {address}".encode())
        return (not answers(address), address not in near, spread)

    ranked = sorted(addresses, key=order)
    silent = [address for address in ranked if not answers(address)]
    chosen = ranked[: const.HEARTBEAT_TARGETS]
    if silent and silent[0] not in chosen:
        chosen.append(silent[int(now) % len(silent)])
    return chosen
