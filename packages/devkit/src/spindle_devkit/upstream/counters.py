"""Totals of a stand-in upstream."""

import msgspec


class Counters(msgspec.Struct):
    """Totals since the start of the process; they are never cut short.

    `executed` counts requests that got a slot, also those cancelled later.
    `connections_refused` counts connections over the cap, which were closed.
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
