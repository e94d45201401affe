"""The frame of a case: its record, its machines, its time limit and its exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from standins.backends import Backends
from standins.fleet import Fleet, prefix
from standins.record import Record

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class CannotRunError(Exception):
    """The case could not run up to its check."""


class Case:
    """What a case needs: `record`, `backends` and `fleet`."""

    def __init__(self, proxied: bool = False) -> None:
        self.record = Record(pathlib.Path("record.txt"))
        self.proxied = proxied
        self.ip_prefix = prefix()
        self.backends = Backends(self.record, self.ip_prefix)
        self.fleet: Fleet

    async def start(self, services: dict[str, int], slots: int = 2, max_conns: int = 25) -> None:
        """Start the platform's list and the backends, and prepare the machines."""
        await self.backends.start(services, slots, max_conns)
        self.fleet = Fleet(self.record, self.ip_prefix, self.backends.list_port, self.proxied)

    def need(self, condition: bool, text: str) -> None:
        """Raise `CannotRunError` unless the condition is true."""
        if not condition:
            raise CannotRunError(text)


def run(case: Case, main: Callable[[Case], Awaitable[int]]) -> None:
    """Run a case, end all its processes, and exit with its code."""
    code = asyncio.run(_run(case, main))
    sys.stdout.flush()
    os._exit(code)


async def _run(case: Case, main: Callable[[Case], Awaitable[int]]) -> int:
    task = asyncio.ensure_future(main(case))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    code = NOT_RUN
    try:
        code = await asyncio.wait_for(task, LIMIT_S)
        case.record.say(f"result: {('held', 'broken', 'not run')[code]}")
    except CannotRunError as err:
        case.record.say(f"result: not run: {err}")
    except (asyncio.CancelledError, TimeoutError):
        case.record.say("result: not run: stopped, or over the time limit")
    except Exception:
        case.record.say(f"result: not run: {traceback.format_exc()}")
    finally:
        if hasattr(case, "fleet"):
            case.fleet.close()
    return code
