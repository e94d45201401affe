"""The states of a claim."""

import enum


class ClaimState(enum.IntEnum):
    """What is known of a claimed request.

    `OPEN`: dispatched or about to be, no outcome yet. `RECORDED`: the outcome is
    kept. `DROPPED`: the request ran, but the body of its outcome was too large to
    keep. `RELEASED`: the request did not run, and another attempt may claim it.
    """

    OPEN = 0
    RECORDED = 1
    DROPPED = 2
    RELEASED = 3
