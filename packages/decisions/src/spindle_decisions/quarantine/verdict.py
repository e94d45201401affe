"""What may be done with a request."""

import enum


class Verdict(enum.Enum):
    """`TRIAL`: it may run at one upstream only, to find out whether that crashes."""

    NORMAL = "normal"
    TRIAL = "trial"
    BLOCKED = "blocked"
