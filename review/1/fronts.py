"""The connections that the core opened to the front go silent; then the configuration changes.

Exit 1: requests sent later than `configApplyMs` after the acknowledgement are run by the
old service.
"""

import asyncio

from standins.case import BROKEN, HELD, TROUBLE, Case, run
from standins.config import HOST, config, single

CORES = ("core-1", "core-2", "core-3")
FRONTS = ("front-1", "front-2")
# Three times `stabilityWindowMs`: all machines are in touch again for a while.
CALM_S = 12.0
# Twice `configApplyMs`.
APPLY_S = 6.0
REQUESTS = 20


async def ask_all(case: Case, name: str) -> None:
    for front in FRONTS:
        for number in range(REQUESTS):
            answer = await case.fleet.ask(front, HOST, "/a/1", f"{name}-{front}-{number}", 2000)
            case.need(name == "second" or answer.status == 200, "a request was not served")


async def main(case: Case) -> int:
    await case.start({"old": 2, "new": 2})
    fleet, conns = case.fleet, {"old": 25, "new": 25}
    await fleet.start(*CORES, *FRONTS)
    first = config(3, [single("r-1", "/a/", "old")], conns)
    case.need(await fleet.replace_config(first, CORES, 30), "no first configuration")
    case.need(await fleet.wait_ready(*FRONTS), "not ready")
    await asyncio.sleep(4)
    await ask_all(case, "first")
    if TROUBLE:
        counts = {front: fleet.proxies[front].silence() for front in FRONTS}
        case.record.say(f"connections from core to front machines go silent: {counts}")
    await asyncio.sleep(CALM_S)
    second = config(8, [single("r-1", "/a/", "new")], conns)
    case.need(await fleet.replace_config(second, CORES, 5), "version 8 is not acknowledged")
    case.record.say("version 8 is acknowledged")
    await asyncio.sleep(APPLY_S)
    await ask_all(case, "second")
    runs = {
        (front, service): sum(
            item.service == service and item.request_id.startswith(f"second-{front}-")
            for item in case.backends.runs
        )
        for front in FRONTS
        for service in ("old", "new")
    }
    case.record.say(f"{APPLY_S} s later, runs by machine and service: {runs}")
    return BROKEN if any(runs[front, "old"] for front in FRONTS) else HELD


run(Case(proxied=True), main)
