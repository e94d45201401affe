"""The roles of a node."""

import enum


class Role(enum.StrEnum):
    """What a node is at present.

    `BLANK` knows no membership. `LEARNER` follows the log without a vote; so does
    a node whose folder is not the one named in the membership.
    """

    BLANK = "blank"
    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
