"""Counters of a stand-in upstream."""

import msgspec


class Counters(msgspec.Struct):
    """Totals since the start of the process.

    They cover all requests, unlike the list of executions, which is limited.
    `executed` counts requests that got a slot, including those cancelled later.
    `connections_refused` counts connections reset because of the limit.
    """

    arrived: int = 0
    executed: int = 0
    finished: int = 0
    cancelled_queued: int = 0
    cancelled_running: int = 0
    refused_shed: int = 0
    refused_draining: int = 0
    refused_snapshot: int = 0
    refused_deadline: int = 0
    connections: int = 0
    connections_max: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
