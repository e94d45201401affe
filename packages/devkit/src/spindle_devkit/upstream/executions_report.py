"""The report of executions at stand-in upstreams."""

import msgspec

from spindle_devkit.upstream.counters import Counters
from spindle_devkit.upstream.execution import Execution


class ExecutionsReport(msgspec.Struct, frozen=True):
    """The counters by upstream name and the newest executions in order of arrival."""

    counters: dict[str, Counters]
    executions: list[Execution]
