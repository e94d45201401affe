"""A front machine is killed and starts again while a shard is slow.

Exit 1: a success names in `Damaskspindle-Part-Stamps` the signature of another request.
"""

import asyncio
import signal

from standins.case import BROKEN, HELD, TROUBLE, Case, run
from standins.config import HOST, config, gather
from standins.http import Message

CORES = ("core-1", "core-2", "core-3")
FRONTS = ("front-1", "front-2", "front-3", "front-4")
SHARDS = [f"shard{number}" for number in range(6)]
# As on grown deployments, an upstream takes fewer connections than would do for all machines.
MAX_CONNS = 5
WORK_S, SLOW_X = 0.25, 12.0
REQUESTS = 1
TIMEOUT_MS = 4000


async def ask_some(case: Case, name: str) -> list[tuple[str, Message]]:
    """Send some requests at once to front-1; return the answers by request id."""

    async def ask(number: int) -> tuple[str, Message]:
        request_id = f"{name}-{number}"
        return request_id, await case.fleet.ask(
            "front-1", HOST, f"/g/{name}{number}", request_id, TIMEOUT_MS
        )

    return await asyncio.gather(*(ask(number) for number in range(REQUESTS)))


async def main(case: Case) -> int:
    await case.start(dict.fromkeys(SHARDS, 2), max_conns=MAX_CONNS)
    fleet, backends = case.fleet, case.backends

    def work_s(service: str, _backend: str, _request: Message) -> float:
        return WORK_S * SLOW_X if service == SHARDS[-1] else WORK_S

    backends.work_s = work_s
    await fleet.start(*CORES, *FRONTS)
    document = config(3, [gather("g-1", "/g/", SHARDS, timeoutMs=TIMEOUT_MS)], dict.fromkeys(SHARDS, MAX_CONNS))
    case.need(await fleet.replace_config(document, CORES, 30), "no first configuration")
    case.need(await fleet.wait_ready(*FRONTS), "not ready")
    await asyncio.sleep(4)
    if TROUBLE:
        old = asyncio.ensure_future(ask_some(case, "old"))
        await asyncio.sleep(0.2)
        fleet.signal("front-1", signal.SIGKILL)
        await fleet.start("front-1", bootstrap=False)
        await old
        started = case.record.now()
        case.need(await fleet.wait_ready("front-1"), "not ready again")
        case.record.say(f"ready again after {case.record.now() - started:.2f} s")
    answers = await ask_some(case, "new")
    await asyncio.sleep(1)
    foreign = 0
    for request_id, answer in answers:
        stamps = [text.strip() for text in answer.header("Damaskspindle-Part-Stamps").split(",")]
        wrong = [
            stamp
            for stamp in stamps
            if stamp and case.backends.stamps[stamp].request_id != request_id
        ]
        case.record.say(f"{request_id}: {answer.status}, {len(stamps)} parts, foreign: {wrong}")
        foreign += answer.status == 200 and bool(wrong)
    case.need(any(answer.status == 200 for _, answer in answers), "no success")
    return BROKEN if foreign else HELD


run(Case(), main)
