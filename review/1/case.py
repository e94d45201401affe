"""All open connections between machines go silent once.

Exit 1: from then on no core machine answers a read of the configuration.
"""

import asyncio

from standins.case import BROKEN, HELD, TROUBLE, Case, run
from standins.config import HOST, config, single

CORES = ("core-1", "core-2", "core-3", "core-4")
FRONTS = ("front-1", "front-2")
# Over three times `stabilityWindowMs`.
CALM_S = 14.0
OPERATOR_S = 30.0
# Twice `stabilityWindowMs`.
READ_BACK_S = 8.0


async def read_all(case: Case, seconds: float) -> list[int]:
    """Read the configuration at each core machine, again and again; return the statuses."""
    statuses = []
    end = case.record.now() + seconds
    while case.record.now() < end:
        reads = await asyncio.gather(*(case.fleet.read_config(name) for name in CORES))
        statuses += [status for status, _ in reads]
        await asyncio.sleep(0.3)
    return statuses


async def main(case: Case) -> int:
    await case.start({"old": 2, "new": 2})
    fleet, conns = case.fleet, {"old": 25, "new": 25}
    await fleet.start(*CORES, *FRONTS)
    first = config(3, [single("r-1", "/a/", "old")], conns)
    case.need(await fleet.replace_config(first, CORES, 30), "no first configuration")
    case.need(await fleet.wait_ready(*FRONTS), "not ready")
    await asyncio.sleep(6)
    before = await read_all(case, 1)
    case.need(before.count(200) == len(before), "not all core machines answer reads")
    answer = await fleet.ask("front-1", HOST, "/a/1", "before", 2000)
    case.need(answer.status == 200, "a request was not served")
    if TROUBLE:
        counts = {name: proxy.silence() for name, proxy in fleet.proxies.items()}
        case.record.say(f"open connections go silent, by the machine that accepted: {counts}")
    await asyncio.sleep(CALM_S)
    case.record.say(f"{CALM_S} s later, reads: {await read_all(case, 1)}")
    second = config(8, [single("r-1", "/a/", "new")], conns)
    acked = await fleet.replace_config(second, CORES, OPERATOR_S)
    case.record.say(f"version 8 acknowledged within {OPERATOR_S} s: {acked}")
    after = await read_all(case, READ_BACK_S)
    case.record.say(f"{after.count(200)} of {len(after)} reads of the last {READ_BACK_S} s came")
    return HELD if after.count(200) else BROKEN


run(Case(proxied=True), main)
