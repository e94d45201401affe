"""The states of a claim."""

import enum


class ClaimState(enum.IntEnum):
    """What is known of a claimed request.

    `OPEN`: dispatched or about to be, no outcome yet. `RECORDED`: the outcome is
    kept. `DROPPED`: it ran, but its body was too large to keep. `RELEASED`: it
    did not run, and a resend may claim again.
    """

    OPEN = 0
    RECORDED = 1
    DROPPED = 2
    RELEASED = 3
